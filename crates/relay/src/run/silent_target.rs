use {
    crate::{hop::must_hand_over, run::relay_run::RelayRun},
    retry::{RetryDecision, SendFault},
    std::time::Instant,
};

/// What is done while the target of a request is silent. It may go on at any moment, so it is left only if
/// another one may have the request.
impl RelayRun {
    /// Returns true if the request may be sent to another target now, and there is one.
    pub(super) fn may_leave(&self, target: &str) -> bool {
        let now = Instant::now();
        let core = &self.core;
        let has_other = must_hand_over(core) || self.has_other_target(target, now);
        let entry_count = core.live_entry_count(now);
        let service = &self.draft.service;
        let has_budget = || core.budget.borrow().has_repeat(service, entry_count, now);
        // A copy decides: the target has not failed.
        let mut tracker = self.tracker.clone();
        has_other && tracker.on_fault(SendFault::Lost, now, has_budget) == RetryDecision::Retry
    }

    /// Counts a target as lost that is silent, so that another one can go on; returns false, and counts
    /// nothing, if none may.
    pub(super) fn leave_silent(&mut self, target: &str) -> bool {
        self.may_leave(target) && self.on_fault(target, SendFault::Lost).is_ok()
    }
}
