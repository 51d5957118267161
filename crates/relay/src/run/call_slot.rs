use {
    crate::{
        origin::ListedProcess,
        permit::CallPass,
        place::RemotePlace,
        run::{crash_watch::CrashWatch, process_proof::ProcessProof, target_choice::ChosenTarget},
        shared::RelayCore,
    },
    plan::{ServiceId, SoftwareVersion},
    route::{PrefixKey, ServiceOutcome, ServicePick},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Concurrency slot that one call takes up at its target. Dropping it frees the slot and records
/// how the call ended.
pub struct CallSlot {
    core: Rc<RelayCore>,
    service: ServiceId,
    pick: ServicePick,
    started: Instant,
    /// Time for which the call has waited for this entry.
    waited: Duration,
    /// Whether the first event of the answer was recorded.
    has_first_event: bool,
    /// Place that the owner of the engine's group has given the request; `None` if this entry has
    /// chosen the target itself.
    place: Option<RemotePlace>,
    /// Leave to send the call.
    pub pass: CallPass,
    /// Watches whether the target crashes.
    pub watch: CrashWatch,
    /// Proof of the process that answers.
    pub proof: Rc<ProcessProof>,
    /// Outcome that is recorded when the slot is dropped; cancelled until it is set.
    outcome: ServiceOutcome,
}

impl CallSlot {
    /// Takes a slot at the chosen target. `prefixes` are the keys of the prompt's prefixes, each
    /// with the number of tokens in its last part.
    pub fn take(
        core: &Rc<RelayCore>,
        service: &str,
        chosen: ChosenTarget,
        prefixes: &[(PrefixKey, u32)],
        watch: CrashWatch,
    ) -> Self {
        let now = Instant::now();
        let ChosenTarget { pick, place, pass } = chosen;
        if let Some(pool) = core.pools.borrow_mut().get_mut(service) {
            pool.record_start(&pick, prefixes, now);
        }
        let listed = ListedProcess {
            target: pick.target.clone(),
            address: pick.address,
            started_ms: core.started_ms(&pick.target),
            version: pick.version.clone(),
        };
        Self {
            core: Rc::clone(core),
            service: service.to_string(),
            proof: Rc::new(ProcessProof::new(core, service, listed)),
            pick,
            started: now,
            waited: Duration::ZERO,
            has_first_event: false,
            place,
            pass,
            watch,
            outcome: ServiceOutcome::Cancelled,
        }
    }

    /// Returns the id of the target.
    pub fn target(&self) -> &str {
        &self.pick.target
    }

    /// Returns the version of the target's software; `None` if it is not known, or if the list of
    /// targets has another one by now.
    pub fn version(&self) -> Option<SoftwareVersion> {
        self.proof.listed_version()
    }

    /// Returns true if the list of targets has another version for the target by now. One that is no
    /// longer listed may still run.
    pub fn is_replaced(&self) -> bool {
        let pools = self.core.pools.borrow();
        let pool = pools.get(&self.service);
        let pool = pool.filter(|pool| pool.is_listed(&self.pick.target));
        pool.is_some_and(|pool| pool.version(&self.pick.target) != self.pick.version.as_deref())
    }

    /// Returns the number of prompt tokens that the target is expected to read.
    pub fn unread_tokens(&self) -> u32 {
        self.pick.unread_tokens
    }

    /// Returns true if the target should fetch the cached part of the prompt from another target.
    pub fn is_fetching(&self) -> bool {
        self.pick.fetch_from.is_some()
    }

    /// Records that events of the answer, or its head if it is not streamed, have arrived.
    pub fn record_event(&mut self) {
        self.watch.record_event(Instant::now());
        if !self.has_first_event {
            self.has_first_event = true;
            if let Some(place) = &self.place {
                place.record_first_event();
            }
            let elapsed = self.started.elapsed();
            if let Some(pool) = self.core.pools.borrow_mut().get_mut(&self.service) {
                pool.record_first_event(&self.pick, elapsed);
            }
        }
    }

    /// Leaves a wait for room of this entry out of the time that the target has needed.
    pub fn exclude_wait(&mut self, wait: Duration) {
        self.waited += wait;
    }

    /// Sets the outcome that is recorded when the slot is dropped.
    pub fn set_outcome(&mut self, outcome: ServiceOutcome) {
        self.outcome = outcome;
    }

    /// Returns the time since the call started.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let is_proven = self.core.link.borrow().has_reached_since(self.started);
        if let Some(place) = &mut self.place {
            // Others are told of a loss only if it is not this entry's own fault.
            place.set_outcome(match self.outcome {
                ServiceOutcome::Lost if !is_proven => ServiceOutcome::Cancelled,
                outcome => outcome,
            });
        }
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.started);
        let elapsed = elapsed.saturating_sub(self.waited);
        if let Some(pool) = self.core.pools.borrow_mut().get_mut(&self.service) {
            pool.record_end(&self.pick, self.outcome, self.has_first_event, elapsed, now);
        }
    }
}
