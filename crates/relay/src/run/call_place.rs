use {
    crate::shared::RelayCore,
    plan::ServiceId,
    route::{PrefixKey, ServiceOutcome, ServicePick},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// One call's place at its target; given back when dropped.
pub struct CallPlace {
    core: Rc<RelayCore>,
    service: ServiceId,
    pick: ServicePick,
    started: Instant,
    read: bool,
    end: ServiceOutcome,
}

impl CallPlace {
    /// Takes the place.
    pub fn take(
        core: &Rc<RelayCore>,
        service: &str,
        pick: ServicePick,
        chain: &[(PrefixKey, u32)],
    ) -> Self {
        let now = Instant::now();
        if let Some(pool) = core.pools.borrow_mut().get_mut(service) {
            pool.record_start(&pick, chain, now);
        }
        Self {
            core: Rc::clone(core),
            service: service.to_string(),
            pick,
            started: now,
            read: false,
            end: ServiceOutcome::Cancelled,
        }
    }

    /// Id of the target.
    pub fn target(&self) -> &str {
        &self.pick.target
    }

    /// Prompt tokens that the target was expected to read.
    pub fn unread(&self) -> u32 {
        self.pick.unread_tokens
    }

    /// True if the target was to fetch parts of the prompt from another.
    pub fn is_fetching(&self) -> bool {
        self.pick.fetch_from.is_some()
    }

    /// Records the first event of the answer.
    pub fn first_event(&mut self) {
        if !self.read {
            self.read = true;
            let spent = self.started.elapsed();
            if let Some(pool) = self.core.pools.borrow_mut().get_mut(&self.service) {
                pool.record_first_event(&self.pick, spent);
            }
        }
    }

    /// Says how the call ended.
    pub fn set_end(&mut self, end: ServiceOutcome) {
        self.end = end;
    }

    /// Time since the call began.
    pub fn spent(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for CallPlace {
    fn drop(&mut self) {
        let now = Instant::now();
        let spent = now.saturating_duration_since(self.started);
        if let Some(pool) = self.core.pools.borrow_mut().get_mut(&self.service) {
            pool.record_end(&self.pick, self.end, self.read, spent, now);
        }
    }
}
