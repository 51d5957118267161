use std::time::{Duration, Instant};

/// Time between requests for facts.
const PULL_INTERVAL: Duration = Duration::from_millis(250);
/// Requests that may follow the last one that brought something new.
const PULLS_AFTER_NEWS: u32 = 8;
/// Most requests in the life of a process.
const MAX_PULLS: u32 = 80;

/// A process that started asks peers for what they know, until they tell it nothing new.
#[derive(Debug)]
pub(crate) struct FactPulls {
    left: u32,
    budget: u32,
    last: Option<Instant>,
}

impl FactPulls {
    /// Pulls of a process that just started.
    pub(crate) fn new() -> Self {
        Self {
            left: PULLS_AFTER_NEWS,
            budget: MAX_PULLS,
            last: None,
        }
    }

    /// Notes that something new was told; what comes after the last request is ordinary news.
    pub(crate) fn learned(&mut self) {
        if self.left > 0 {
            self.left = PULLS_AFTER_NEWS;
        }
    }

    /// Starts a request if one is due.
    pub(crate) fn start(&mut self, now: Instant) -> bool {
        let due = self
            .next()
            .is_some_and(|due| due.is_none_or(|due| due <= now));
        if due {
            self.left -= 1;
            self.budget -= 1;
            self.last = Some(now);
        }
        due
    }

    /// True until the first request.
    pub(crate) fn is_first(&self) -> bool {
        self.last.is_none()
    }

    /// When the next request is due, if there is one.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.next().flatten()
    }

    fn next(&self) -> Option<Option<Instant>> {
        let wanted = self.left > 0 && self.budget > 0;
        wanted.then(|| self.last.map(|last| last + PULL_INTERVAL))
    }
}
