use {
    crate::{
        dialect::WireFault,
        state::{StoreReplica, read_phase::ReadPhase},
    },
    std::time::{Duration, Instant},
};

/// Delay before the next call after the first one that failed.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Longest delay before the next call after several failed in a row.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Number of answers of the store in a row that may be lost before this entry counts as out of touch
/// with it.
const MAX_LOST_ANSWERS: u32 = 1;

/// What the replica does about calls that failed.
impl StoreReplica {
    /// Records that a check failed. Returns true if all items must be read again, so that the
    /// watch must be restarted.
    pub fn on_check_fault(&mut self, fault: &WireFault, now: Instant) -> bool {
        if self.needs_full_read(fault) {
            self.on_fault(fault, now);
            return true;
        }
        self.record_failed_call(fault, now);
        false
    }

    /// Returns true if the changes since the known revision cannot be had: the store no longer has
    /// them, or they do not fit into an answer, so that the same call would fail again.
    fn needs_full_read(&self, fault: &WireFault) -> bool {
        match fault {
            WireFault::HistoryGone => true,
            WireFault::TooLong => self.is_watching(),
            WireFault::Malformed(_) | WireFault::Refused(_) => false,
        }
    }

    /// Records a call that failed. A refusal shows at once that the store does not answer this entry,
    /// while a single answer may be lost on the way.
    fn record_failed_call(&mut self, fault: &WireFault, now: Instant) {
        self.failed_call_count += 1;
        self.last_fault_at = Some(now);
        let is_refused = matches!(fault, WireFault::Refused(_));
        self.lacks_store |= is_refused || self.failed_call_count > MAX_LOST_ANSWERS;
    }

    /// Records that a call failed. If the changes since the known revision cannot be had, all items
    /// are read again at once; otherwise the next call is delayed by a backoff.
    pub fn on_fault(&mut self, fault: &WireFault, now: Instant) {
        if self.needs_full_read(fault) {
            self.phase = ReadPhase::start();
            self.next_at = now;
            return;
        }
        let backoff = MIN_BACKOFF * (1 << self.failed_call_count.min(4));
        self.record_failed_call(fault, now);
        self.next_at = now + backoff.min(MAX_BACKOFF);
    }
}
