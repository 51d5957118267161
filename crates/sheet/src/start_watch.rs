use {
    base::HostId,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Longest wait for answers of peers before a starting daemon makes do with the service.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for the names of peers.
const PEERS_WAIT: Duration = Duration::from_secs(2);
/// Pause between two rounds of asking peers.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// Waits until enough peers have said which sheet they have.
#[derive(Debug)]
pub(crate) struct StartWatch {
    since: Instant,
    next_ask: Instant,
    open: BTreeSet<HostId>,
    first_ask: Option<Instant>,
    answered: bool,
    vouched: bool,
}

impl StartWatch {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            next_ask: now,
            open: BTreeSet::new(),
            first_ask: None,
            answered: false,
            vouched: false,
        }
    }

    /// True if a further round is due.
    pub(crate) fn is_ask_due(&self, now: Instant) -> bool {
        now >= self.next_ask
    }

    /// Records a round.
    pub(crate) fn ask(&mut self, hosts: &[HostId], now: Instant) {
        self.next_ask = now + ASK_PAUSE;
        self.open = hosts.iter().cloned().collect();
        if !hosts.is_empty() {
            self.first_ask.get_or_insert(now);
        }
    }

    /// Records that a peer answered; a peer without a sheet cannot vouch for the service.
    pub(crate) fn answer(&mut self, host: &str, has_sheet: bool) {
        self.open.remove(host);
        self.answered |= has_sheet;
    }

    /// True if a peer with a sheet answered.
    pub(crate) fn has_answer(&self) -> bool {
        self.answered
    }

    /// Records that a vouched peer answered.
    pub(crate) fn vouch(&mut self) {
        self.vouched = true;
    }

    /// True if a vouched peer answered.
    pub(crate) fn is_vouched(&self) -> bool {
        self.vouched
    }

    /// Records that a peer failed.
    pub(crate) fn fail(&mut self, host: &str) {
        self.open.remove(host);
    }

    /// True once a round was answered, or when the wait is over.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        let complete = self.first_ask.is_some() && self.answered && self.open.is_empty();
        complete || now >= self.settles_at()
    }

    /// Next time at which something changes by itself.
    pub(crate) fn next_wakeup(&self, now: Instant) -> Instant {
        if now < self.settles_at() {
            self.next_ask.min(self.settles_at())
        } else {
            self.next_ask
        }
    }

    fn settles_at(&self) -> Instant {
        match self.first_ask {
            Some(at) => at + ANSWER_WAIT,
            None => self.since + PEERS_WAIT,
        }
    }
}
