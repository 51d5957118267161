use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        filters::stale_keys_refusal,
        permit::pass_limit,
        place::{PlaceQuestion, RemotePlace, ask_place, prompt_group},
        run::{call_slot::CallSlot, crash_watch::CrashWatch, part_gate::pass_part_gate},
        shared::{RelayCore, RunningGuard},
        stage::StageRun,
    },
    base::{FailureReason, RunVerdict},
    piece::PieceOutcome,
    retry::{AttemptTracker, RetryDecision, SendFault},
    route::{ServicePick, ServiceQuery},
    slog::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after which a caller should retry after a failure that is likely to be short.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of times that the stages are run again because a target lost results.
const MAX_STAGE_RERUNS: u32 = 1;

/// Share of the time left until the first event is due for which a request may wait for a limited
/// target; the rest is for the answer.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Maximum number of targets that are chosen for a send if their limits leave it no call.
const MAX_LIMITED_CHOICES: usize = 6;

/// A request that passed the filters, with its stages and its sends to targets.
pub struct RelayRun {
    pub core: Rc<RelayCore>,
    pub draft: RelayDraft,
    pub tracker: AttemptTracker,
    /// Run of the request's stages, which holds their results; `None` if the stages must be run.
    stages: Option<StageRun>,
    /// Ids of the targets to which the request was sent.
    tried_targets: Vec<String>,
    _running: RunningGuard,
}

impl RelayRun {
    /// Creates the run of a request that was not sent yet. `running` counts the request as running
    /// until the run is dropped.
    pub fn new(core: &Rc<RelayCore>, draft: RelayDraft, running: RunningGuard) -> Self {
        let rule = &draft.rule;
        let may_repeat = rule.repeat.may_repeat();
        Self {
            core: Rc::clone(core),
            tracker: AttemptTracker::new(may_repeat, rule.max_targets, draft.deadline),
            stages: None,
            tried_targets: Vec::new(),
            _running: running,
            draft,
        }
    }

    /// Runs the stages that are not done yet. If a result was lost, all stages are run again.
    pub async fn run_stages(&mut self) -> Result<(), RelayRefusal> {
        if !self.draft.has_stages() {
            return Ok(());
        }
        let mut failed_run_count = 0;
        if self.draft.data_centre.is_none() {
            self.draft.data_centre = self.expected_centre();
        }
        loop {
            let core = &self.core;
            let stages = self
                .stages
                .get_or_insert_with(|| StageRun::new(core, &self.draft));
            let Err(outcome) = stages.run(&self.draft).await else {
                return Ok(());
            };
            self.stages = None;
            failed_run_count += 1;
            if outcome != PieceOutcome::InputGone || failed_run_count > MAX_STAGE_RERUNS {
                return Err(self.stage_refusal(&outcome));
            }
            info!(self.core.log, "stages run again, a result was gone";
                "request" => &self.draft.head.request_id);
        }
    }

    /// Returns the results of the stages; `None` if the request has no stages or its results were
    /// freed.
    pub fn inputs(&self) -> Option<Vec<piece::StageResult>> {
        self.stages.as_ref().map(StageRun::results)
    }

    /// Frees the results of the stages, which must be made again if the request is sent again.
    pub fn free_inputs(&mut self) {
        self.stages = None;
    }

    /// Chooses a target and takes a slot there. Refuses the request if a part of its prompt is
    /// suspect, or as [`Self::choose_target`] does.
    pub async fn take_slot(&mut self) -> Result<(CallSlot, ServicePick), RelayRefusal> {
        let gate = pass_part_gate(&self.core, &self.draft).await;
        let is_trial = gate.map_err(|refusal| self.with_verdict(refusal))?;
        let (pick, place) = self.choose_target().await?;
        self.draft.limited_place = None;
        let parts = self.draft.parts.clone();
        let watch = CrashWatch::new(&self.core, &pick, parts, is_trial);
        let slot = CallSlot::take(
            &self.core,
            &self.draft.service,
            pick.clone(),
            place,
            &self.draft.prefixes,
            watch,
        );
        Ok((slot, pick))
    }

    /// Chooses a target that takes a call now. Refuses the request if there is none, or if it has a
    /// key and the keys in force were not confirmed recently enough.
    async fn choose_target(&self) -> Result<(ServicePick, Option<RemotePlace>), RelayRefusal> {
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
            if pass_limit(&self.core, &pick.target).await {
                self.check_keys()?;
                return Ok((pick, place));
            }
        }
        let service = &self.draft.service;
        let detail = format!("no further target of service {service} can be used");
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
    fn expected_centre(&self) -> Option<String> {
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
            data_centre: core.settings.borrow().data_centre.clone(),
            inputs: input_bytes.unwrap_or_default(),
        };
        let (pick, place) = ask_place(core, question).await?;
        accepts_calls(&pick.target).then_some((pick, place))
    }

    /// Returns the target that is currently the best of those that were not tried yet.
    fn pick(&self, now: Instant) -> Option<ServicePick> {
        let own_centre = self.core.settings.borrow().data_centre.clone();
        let stages = self.stages.as_ref();
        let input_bytes = stages.map(|stages| stages.result_bytes(&self.draft));
        let query = ServiceQuery {
            prefixes: &self.draft.prefixes,
            tried: &self.tried_targets,
            data_centre: &own_centre,
            inputs: &input_bytes.unwrap_or_default(),
            among: None,
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

    /// Records a failed send. Returns the refusal if the request must not be sent again.
    pub fn on_fault(&mut self, target: &str, fault: SendFault) -> Result<(), RelayRefusal> {
        let now = Instant::now();
        let core = &self.core;
        let entry_count = core.live_entry_count(now);
        let service = &self.draft.service;
        let decision = self.tracker.on_fault(fault, now, || {
            core.budget
                .borrow_mut()
                .take_repeat(service, entry_count, now)
        });
        self.tried_targets.push(target.to_string());
        if fault == SendFault::InputsGone {
            self.stages = None;
        }
        match decision {
            RetryDecision::Retry => {
                core.metrics.repeats.inc();
                Ok(())
            }
            RetryDecision::GiveUp { verdict, reason } => Err(RelayRefusal {
                verdict,
                reason,
                detail: format!(
                    "{fault:?} at target {target} after {} sends",
                    self.tracker.sends()
                ),
                retry_after: (verdict == RunVerdict::NotRun).then_some(RETRY_DELAY),
            }),
        }
    }

    /// Returns the refusal with the verdict on the sends so far. Its retry delay is kept only if no
    /// target can have run the request.
    pub fn with_verdict(&self, refusal: RelayRefusal) -> RelayRefusal {
        let verdict = self.tracker.verdict();
        let retry_after = refusal
            .retry_after
            .filter(|_| verdict == RunVerdict::NotRun);
        RelayRefusal {
            verdict,
            retry_after,
            ..refusal
        }
    }

    /// Returns the refusal of a request whose deadline passed; `is_sent` is true if a target had
    /// been called and had not answered yet.
    pub fn deadline_refusal(&self, is_sent: bool) -> RelayRefusal {
        let detail = format!("no answer within {:?}", self.draft.arrived.elapsed());
        let refusal =
            self.with_verdict(RelayRefusal::not_run(FailureReason::DeadlinePassed, detail));
        match is_sent {
            true => RelayRefusal {
                verdict: self.tracker.verdict().max(RunVerdict::MayHaveRun),
                retry_after: None,
                ..refusal
            },
            false => refusal,
        }
    }

    fn stage_refusal(&self, outcome: &PieceOutcome) -> RelayRefusal {
        let reason = match outcome {
            PieceOutcome::Late => FailureReason::DeadlineTooShort,
            PieceOutcome::NoRoom | PieceOutcome::InputGone | PieceOutcome::Moved => {
                FailureReason::Overloaded
            }
            PieceOutcome::Failed | PieceOutcome::Made(_) => FailureReason::TargetFailed,
        };
        let refusal = RelayRefusal::not_run(reason, format!("a stage failed: {outcome:?}"));
        self.with_verdict(refusal.retry_after(RETRY_DELAY))
    }
}
