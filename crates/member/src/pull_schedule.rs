use std::time::{Duration, Instant};

/// Time between two pull requests.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Pull requests that are still sent after the last one that brought something new.
const PULLS_AFTER_NEWS: u32 = 8;
/// Limit of pull requests in the lifetime of a process.
const MAX_PULLS: u32 = 80;

/// Schedules the requests by which a process that has just started pulls state from its peers. They
/// end when the answers bring nothing new.
#[derive(Debug)]
pub(crate) struct PullSchedule {
    pulls_left: u32,
    total_pulls_left: u32,
    last_pull: Option<Instant>,
}

impl PullSchedule {
    /// Creates the schedule of a process that has just started; its first pull is due at once.
    pub(crate) fn new() -> Self {
        Self {
            pulls_left: PULLS_AFTER_NEWS,
            total_pulls_left: MAX_PULLS,
            last_pull: None,
        }
    }

    /// Extends the pulls after a peer reported something new. Once the last pull was sent, news is
    /// part of normal operation and starts no further pulls.
    pub(crate) fn record_news(&mut self) {
        if self.pulls_left > 0 {
            self.pulls_left = PULLS_AFTER_NEWS;
        }
    }

    /// Counts a pull if one is due, and returns whether the caller is to send it.
    pub(crate) fn start_if_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .due_time()
            .is_some_and(|due| due.is_none_or(|due| due <= now));
        if is_due {
            self.pulls_left -= 1;
            self.total_pulls_left -= 1;
            self.last_pull = Some(now);
        }
        is_due
    }

    /// True until the first pull.
    pub(crate) fn is_first_pull(&self) -> bool {
        self.last_pull.is_none()
    }

    /// Returns when the next pull is due; `None` if the first one is due at once or none is left.
    pub(crate) fn next_due_time(&self) -> Option<Instant> {
        self.due_time().flatten()
    }

    /// Returns `None` if no pull is left, and `Some(None)` if the first one is due at once.
    fn due_time(&self) -> Option<Option<Instant>> {
        let has_pulls_left = self.pulls_left > 0 && self.total_pulls_left > 0;
        has_pulls_left.then(|| self.last_pull.map(|last_pull| last_pull + PULL_INTERVAL))
    }
}
