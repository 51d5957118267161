use {
    crate::{caller::RelayDraft, hop::HopSlot, run::call_slot::CallSlot},
    plan::SoftwareVersion,
    route::ServiceOutcome,
    std::time::Duration,
};

/// Where the answer to a request comes from.
pub enum AnswerSource {
    /// A target that this entry has called.
    Target(Box<CallSlot>),
    /// Another entry, to which the request was handed over.
    Peer(HopSlot),
}

impl AnswerSource {
    /// Returns the id of the target, or the name of the other entry's host.
    pub fn name(&self) -> &str {
        match self {
            Self::Target(slot) => slot.target(),
            Self::Peer(slot) => slot.host(),
        }
    }

    /// Returns the version of the target's software; `None` if it is not known here.
    pub fn version(&self) -> Option<SoftwareVersion> {
        match self {
            Self::Target(slot) => slot.version(),
            Self::Peer(_) => None,
        }
    }

    /// Returns the slot at the target; `None` if another entry calls it.
    pub fn slot(&self) -> Option<&CallSlot> {
        match self {
            Self::Target(slot) => Some(slot),
            Self::Peer(_) => None,
        }
    }

    /// Returns the time since the request was sent.
    pub fn elapsed(&self) -> Duration {
        match self {
            Self::Target(slot) => slot.elapsed(),
            Self::Peer(slot) => slot.elapsed(),
        }
    }

    /// Records that events of the answer, or its head if it is not streamed, have arrived.
    pub fn record_event(&mut self) {
        if let Self::Target(slot) = self {
            slot.record_event();
        }
    }

    /// Leaves a wait for room of this entry out of the time that the target has needed.
    pub fn exclude_wait(&mut self, wait: Duration) {
        if let Self::Target(slot) = self {
            slot.exclude_wait(wait);
        }
    }

    /// Records the end of a stream.
    pub fn record_end(&mut self, ends_with_connection: bool) {
        if let Self::Target(slot) = self {
            slot.watch.record_end(ends_with_connection);
        }
    }

    /// Records that the target has survived the beginning of the answer.
    pub fn record_survival(&mut self) {
        if let Self::Target(slot) = self {
            slot.watch.record_survival();
        }
    }

    /// Sets how the call has ended.
    pub fn set_outcome(&mut self, outcome: ServiceOutcome) {
        if let Self::Target(slot) = self {
            slot.set_outcome(outcome);
        }
    }

    /// Checks whether a target that lost the call has crashed.
    pub fn check_crash(&self, draft: &RelayDraft) {
        if let Self::Target(slot) = self {
            slot.watch.check_crash(draft);
        }
    }
}
