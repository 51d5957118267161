use {
    base::HostId,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Longest wait for answers of peers before a starting daemon relies on the configuration service.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a first list of peers.
const PEER_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two rounds of asking peers.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Tracks whether a starting daemon must still wait for its peers to report their sheets.
#[derive(Debug)]
pub(crate) struct StartupWait {
    started_at: Instant,
    next_round_at: Instant,
    /// Peers of the current round that have neither answered nor failed.
    pending: BTreeSet<HostId>,
    /// Time of the first round that had peers to ask.
    first_round_at: Option<Instant>,
    /// True once a peer that has a sheet has answered.
    answered: bool,
    /// True once a peer that is vouched for has answered.
    vouched: bool,
}

impl StartupWait {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            next_round_at: now,
            pending: BTreeSet::new(),
            first_round_at: None,
            answered: false,
            vouched: false,
        }
    }

    /// Returns true if the next round of asking peers is due.
    pub(crate) fn is_round_due(&self, now: Instant) -> bool {
        now >= self.next_round_at
    }

    /// Records that a round asks these peers.
    pub(crate) fn start_round(&mut self, hosts: &[HostId], now: Instant) {
        self.next_round_at = now + ROUND_INTERVAL;
        self.pending = hosts.iter().cloned().collect();
        if !hosts.is_empty() {
            self.first_round_at.get_or_insert(now);
        }
    }

    /// Records that a peer answered. The answer of a peer without a sheet says nothing about the
    /// configuration service and does not end the wait.
    pub(crate) fn record_answer(&mut self, host: &str, has_sheet: bool) {
        self.pending.remove(host);
        self.answered |= has_sheet;
    }

    /// Returns true if a peer that has a sheet answered.
    pub(crate) fn has_answer(&self) -> bool {
        self.answered
    }

    /// Records that a vouched peer answered.
    pub(crate) fn record_vouch(&mut self) {
        self.vouched = true;
    }

    /// Returns true if a vouched peer answered.
    pub(crate) fn is_vouched(&self) -> bool {
        self.vouched
    }

    /// Records that a peer failed.
    pub(crate) fn record_failure(&mut self, host: &str) {
        self.pending.remove(host);
    }

    /// Returns true if every peer of the current round has answered or failed and any peer that
    /// answered has a sheet, or if the wait has timed out.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        let is_answered = self.first_round_at.is_some() && self.answered && self.pending.is_empty();
        is_answered || now >= self.times_out_at()
    }

    /// Returns the next time at which a round is due or the wait times out.
    pub(crate) fn next_wakeup(&self, now: Instant) -> Instant {
        if now < self.times_out_at() {
            self.next_round_at.min(self.times_out_at())
        } else {
            self.next_round_at
        }
    }

    fn times_out_at(&self) -> Instant {
        match self.first_round_at {
            Some(first_round_at) => first_round_at + ANSWER_TIMEOUT,
            None => self.started_at + PEER_LIST_TIMEOUT,
        }
    }
}
