use {
    crate::{
        NoticeStanding, PrefixKey, ServiceOutcome, ServicePick, VersionRule,
        service_target::{INITIAL_CALL_TIME, ServiceTarget, TargetWork},
    },
    base::StableHash,
    plan::{EngineSpec, ServiceSpec, TargetRow},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Share of an engine's memory that is assumed to hold cached prefixes.
const CACHE_FILL_SHARE: f64 = 0.7;

/// Targets of one service, each of which runs requests from start to end.
///
/// A request goes to the target with the lowest cost in time, which covers queued and cached
/// prompt tokens, the measured speed, the network distance and failures. Prompts with the same
/// prefix have the same owner on every entry, so that the prefix is read by one target and not by
/// all.
#[derive(Debug)]
pub struct ServicePool {
    pub(crate) engine: Option<EngineSpec>,
    pub(crate) targets: BTreeMap<String, ServiceTarget>,
}

impl ServicePool {
    /// Creates a pool without targets.
    pub fn new() -> Self {
        Self {
            engine: None,
            targets: BTreeMap::new(),
        }
    }

    /// Replaces the targets by those that the platform lists; targets that stay keep their
    /// measurements.
    pub fn set_targets<'a>(
        &mut self,
        spec: &ServiceSpec,
        rows: impl IntoIterator<Item = (&'a String, &'a TargetRow)>,
    ) {
        self.engine = spec.engine;
        let mut previous = std::mem::take(&mut self.targets);
        for (id, row) in rows {
            let mut target = previous
                .remove(id)
                .unwrap_or_else(|| ServiceTarget::new(row));
            target.update(row);
            self.targets.insert(id.clone(), target);
        }
    }

    /// Applies what a target said of itself; ignores targets of other services.
    pub fn apply_notice(&mut self, target: &str, standing: NoticeStanding) {
        if let Some(target) = self.targets.get_mut(target) {
            target.apply_notice(standing);
        }
    }

    /// Sends a target nothing until this time, or as usual again if there is none; ignores targets
    /// of other services.
    pub fn hold_target(&mut self, target: &str, until: Option<Instant>) {
        if let Some(target) = self.targets.get_mut(target) {
            target.held_until = until;
        }
    }

    /// Forgets the losses of all targets, after a fault of this entry's own links.
    pub fn forget_losses(&mut self) {
        for target in self.targets.values_mut() {
            target.forget_losses();
        }
    }

    /// Sets the work that the targets do for other entries, keyed by [`id_hash`] of the target.
    pub fn set_peer_work(&mut self, work: &HashMap<u64, TargetWork>) {
        for (id, target) in &mut self.targets {
            target.peer_work = work.get(&id_hash(id)).copied().unwrap_or_default();
        }
    }

    /// Returns the mean call time of the targets that were measured, which is assumed for the others: a target
    /// that joins would never be tried if it were taken for a slow one.
    pub(crate) fn typical_call_time(&self) -> Duration {
        let measured = self.targets.values().filter_map(|target| target.call_time);
        let (count, sum) = measured.fold((0, Duration::ZERO), |(count, sum), time| {
            (count + 1, sum + time)
        });
        match count {
            0 => INITIAL_CALL_TIME,
            count => sum / count,
        }
    }

    /// Returns the work that the targets do for this entry, without idle targets, keyed by
    /// [`id_hash`] of the target.
    pub fn own_work(&self) -> impl Iterator<Item = (u64, TargetWork)> {
        let busy = self
            .targets
            .iter()
            .filter(|(_, target)| target.own_work.running > 0);
        busy.map(|(id, target)| (id_hash(id), target.own_work))
    }

    /// True if at least one target is not leaving.
    pub fn is_usable(&self) -> bool {
        self.targets.values().any(|target| !target.leaving)
    }

    /// True if the target is listed, is not leaving and has not asked for a pause.
    pub fn accepts_calls(&self, target: &str, now: Instant) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|target| target.accepts_calls(now))
    }

    /// Returns the version of a target's software; `None` if it is not known.
    pub fn version(&self, target: &str) -> Option<&str> {
        self.targets.get(target)?.version.as_deref()
    }

    /// True if the target is listed.
    pub fn is_listed(&self, target: &str) -> bool {
        self.targets.contains_key(target)
    }

    /// True if the answers on a connection that was opened at this time come from the listed process
    /// of the target, with this start time: this process has answered on another one since, and both
    /// processes would have had to run then.
    pub fn is_proven(&self, target: &str, started_ms: u64, opened_at: Instant) -> bool {
        let target = self.targets.get(target);
        let target = target.filter(|target| target.started_ms == started_ms);
        target.is_some_and(|target| target.confirmed_at >= Some(opened_at))
    }

    /// Records that the process with this start time has answered at the target, on a connection that
    /// was opened at this time.
    pub fn confirm_process(&mut self, target: &str, started_ms: u64, opened_at: Instant) {
        let target = self.targets.get_mut(target);
        if let Some(target) = target.filter(|target| target.started_ms == started_ms) {
            target.confirmed_at = target.confirmed_at.max(Some(opened_at));
        }
    }

    /// True if a target at which the request may run, by its version, takes calls now.
    pub fn has_version(&self, versions: &VersionRule, now: Instant) -> bool {
        let mut accepting = self.targets.values();
        accepting
            .any(|target| target.accepts_calls(now) && versions.accepts(target.version.as_deref()))
    }

    /// Returns the time until the first target that is only held takes calls again; `None` if none
    /// is, since all others are leaving or want no calls.
    pub fn time_to_held(&self, now: Instant) -> Option<Duration> {
        let held = self.targets.values();
        held.filter_map(|target| target.hold_left(now)).min()
    }

    /// Returns the ids and start times of the targets that take calls now.
    pub fn accepting_targets(&self, now: Instant) -> impl Iterator<Item = (&str, u64)> {
        let accepting = self.targets.iter();
        let accepting = accepting.filter(move |(_, target)| target.accepts_calls(now));
        accepting.map(|(id, target)| (id.as_str(), target.started_ms))
    }

    /// Records that a request was sent to the picked target.
    pub fn record_start(
        &mut self,
        pick: &ServicePick,
        prefixes: &[(PrefixKey, u32)],
        now: Instant,
    ) {
        let cache_tokens = self.engine.map_or(0, |engine| engine.cache_tokens);
        let capacity = (cache_tokens as f64 * CACHE_FILL_SHARE) as u64;
        if let Some(target) = self.targets.get_mut(&pick.target) {
            target.own_work.running += 1;
            let unread_tokens = &mut target.own_work.unread_tokens;
            *unread_tokens = unread_tokens.saturating_add(pick.unread_tokens);
            target.cache.record_prompt(prefixes, capacity, now);
        }
    }

    /// Records the first event of an answer, which means that the prompt has been read.
    pub fn record_first_event(&mut self, pick: &ServicePick, elapsed: Duration) {
        if let Some(target) = self.targets.get_mut(&pick.target) {
            target.own_work.unread_tokens = target
                .own_work
                .unread_tokens
                .saturating_sub(pick.unread_tokens);
            target.observe_reading(pick.queued_tokens, elapsed);
        }
    }

    /// Records the end of a request; `has_first_event` is true if its first event was recorded.
    pub fn record_end(
        &mut self,
        pick: &ServicePick,
        outcome: ServiceOutcome,
        has_first_event: bool,
        elapsed: Duration,
        now: Instant,
    ) {
        let has_engine = self.engine.is_some();
        let typical_time = self.typical_call_time();
        let Some(target) = self.targets.get_mut(&pick.target) else {
            return;
        };
        target.own_work.running = target.own_work.running.saturating_sub(1);
        if !has_first_event {
            target.own_work.unread_tokens = target
                .own_work
                .unread_tokens
                .saturating_sub(pick.unread_tokens);
        }
        match outcome {
            ServiceOutcome::Answered => {
                target.observe_success();
                if !has_engine {
                    target.observe_call(elapsed, typical_time);
                }
            }
            ServiceOutcome::Failed => target.observe_failure(),
            ServiceOutcome::Refused => target.observe_refusal(now),
            ServiceOutcome::Lost => target.observe_loss(now),
            ServiceOutcome::Cancelled => {}
        }
    }
}

impl Default for ServicePool {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the hash of a target's id, which entries exchange in place of the id.
pub fn id_hash(id: &str) -> u64 {
    StableHash::new().with_text(id).finish()
}
