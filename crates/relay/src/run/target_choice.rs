use {
    crate::{
        dialect::RelayRefusal,
        filters::stale_keys_refusal,
        permit::{CallPass, pass_limit},
        place::{PlaceQuestion, RemotePlace, ask_place, prompt_group},
        run::relay_run::{RETRY_DELAY, RelayRun},
    },
    base::FailureReason,
    route::{ServicePick, ServiceQuery, VersionRule},
    std::time::{Duration, Instant},
};

/// Share of the time left until the first event is due for which a request may wait for a limited
/// target; the rest is for the answer.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Maximum number of targets that are chosen for a send if their limits leave it no call.
const MAX_LIMITED_CHOICES: usize = 6;

/// The target for one send of a request.
pub struct ChosenTarget {
    pub pick: ServicePick,
    /// Place that the owner of the engine's group has given the request, if it has.
    pub place: Option<RemotePlace>,
    /// Leave to send the call.
    pub pass: CallPass,
}

/// The choice of a target for the next send of a request.
impl RelayRun {
    /// Chooses a target that takes a call now. Refuses the request if there is none, or if it has a
    /// key and the keys in force were not confirmed recently enough.
    pub(super) async fn choose_target(&self) -> Result<ChosenTarget, RelayRefusal> {
        for _ in 0..MAX_LIMITED_CHOICES {
            let placed = self.ask_place().await;
            self.check_keys()?;
            let now = Instant::now();
            let placed = placed.or_else(|| self.pick(now).map(|pick| (pick, None)));
            let Some((pick, place)) = placed else {
                match self.limit_wait(now) {
                    Some(wait) => actix_rt::time::sleep(wait).await,
                    None => break,
                }
                continue;
            };
            // A target that is turned away is not chosen again for a while.
            if let Some(pass) = pass_limit(&self.core, &pick.target).await {
                self.check_keys()?;
                return Ok(ChosenTarget { pick, place, pass });
            }
        }
        let service = &self.draft.service;
        let detail = match &self.draft.versions {
            VersionRule::Any => format!("no further target of service {service} can be used"),
            versions => format!("no further target of service {service} at {versions:?}"),
        };
        let refusal = RelayRefusal::not_run(FailureReason::NoTarget, detail);
        let delay = self.time_to_usable(Instant::now()).max(RETRY_DELAY);
        Err(self.with_verdict(refusal.retry_after(delay)))
    }

    /// Returns the time for which a request whose stages are done waits for a target that is limited;
    /// `None` if it should be refused. Its pieces would have been made in vain.
    fn limit_wait(&self, now: Instant) -> Option<Duration> {
        let pools = self.core.pools.borrow();
        let wait = pools.get(&self.draft.service)?.time_to_held(now)?;
        let max_wait = self
            .draft
            .first_event_time_left(now)
            .mul_f64(MAX_WAIT_SHARE);
        (self.draft.has_stages() && wait <= max_wait).then_some(wait)
    }

    /// Refuses a request with a key if the keys in force were not confirmed recently enough.
    fn check_keys(&self) -> Result<(), RelayRefusal> {
        match self.draft.organisation.is_none() || self.core.keys_are_fresh() {
            true => Ok(()),
            false => Err(self.with_verdict(stale_keys_refusal())),
        }
    }

    /// Returns the data centre in which the request is expected to run.
    pub(super) fn expected_centre(&self) -> Option<String> {
        let draft = &self.draft;
        match prompt_group(&self.core, &draft.service, &draft.prefixes) {
            Some(group) => Some(group.data_centre),
            None => self.pick(Instant::now()).map(|pick| pick.data_centre),
        }
    }

    /// Asks the owner of the prompt's group of engines for a target that this entry may call.
    async fn ask_place(&self) -> Option<(ServicePick, Option<RemotePlace>)> {
        let (core, draft) = (&self.core, &self.draft);
        let group = prompt_group(core, &draft.service, &draft.prefixes)?;
        let mut excluded = self.tried_targets.clone();
        let accepts_calls = |target: &str| {
            let pools = core.pools.borrow();
            let pool = pools.get(&draft.service);
            pool.is_some_and(|pool| pool.accepts_calls(target, Instant::now()))
        };
        let unusable = group.targets.iter().filter(|target| !accepts_calls(target));
        excluded.extend(unusable.cloned());
        let input_bytes = self.stages.as_ref();
        let input_bytes = input_bytes.map(|stages| stages.result_bytes(draft));
        let question = PlaceQuestion {
            service: draft.service.clone(),
            group: group.name,
            prompt: draft.prefixes.clone(),
            excluded,
            versions: draft.versions.clone(),
            data_centre: core.settings.borrow().data_centre.clone(),
            inputs: input_bytes.unwrap_or_default(),
        };
        let (mut pick, place) = ask_place(core, question).await?;
        let pools = core.pools.borrow();
        let listed_version = pools.get(&draft.service)?.version(&pick.target);
        if pick.version.as_deref() != listed_version {
            // One of the two entries has an outdated list.
            pick.version = None;
        }
        let may_run = draft.versions.accepts(pick.version.as_deref());
        (may_run && accepts_calls(&pick.target)).then_some((pick, place))
    }

    /// Returns true if there is a target besides this one that was not tried yet.
    pub(super) fn has_other_target(&self, target: &str, now: Instant) -> bool {
        let mut tried = self.tried_targets.clone();
        tried.push(target.to_string());
        let versions = match &self.draft.versions {
            // It is asked for before the request is sent.
            VersionRule::Nowhere => &VersionRule::Any,
            versions => versions,
        };
        self.pick_besides(&tried, versions, now).is_some()
    }

    /// Returns the target that is currently the best of those that were not tried yet.
    fn pick(&self, now: Instant) -> Option<ServicePick> {
        self.pick_besides(&self.tried_targets, &self.draft.versions, now)
    }

    fn pick_besides(
        &self,
        tried: &[String],
        versions: &VersionRule,
        now: Instant,
    ) -> Option<ServicePick> {
        let own_centre = self.core.settings.borrow().data_centre.clone();
        let stages = self.stages.as_ref();
        let input_bytes = stages.map(|stages| stages.result_bytes(&self.draft));
        let query = ServiceQuery {
            prefixes: &self.draft.prefixes,
            tried,
            data_centre: &own_centre,
            inputs: &input_bytes.unwrap_or_default(),
            among: None,
            versions,
        };
        let pools = self.core.pools.borrow();
        let mut random = self.core.random.borrow_mut();
        let pool = pools.get(&self.draft.service)?;
        pool.pick(query, now, &mut *random)
    }

    /// Returns the time until a target of the service takes calls; zero if one does or none will.
    fn time_to_usable(&self, now: Instant) -> Duration {
        let pools = self.core.pools.borrow();
        let pool = pools.get(&self.draft.service);
        pool.and_then(|pool| pool.time_to_usable(now))
            .unwrap_or_default()
    }
}
