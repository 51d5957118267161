use std::{collections::VecDeque, time::Duration};

/// Latencies that the quantile is taken from.
const RECENT_CALLS: usize = 256;
/// Calls that must have been seen before the quantile means anything.
const LEAST_CALLS: usize = 32;
/// Share of the calls that end before a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.97;
/// Calls between two computations of the quantile.
const REFRESH_CALLS: usize = 8;

/// What a hedge of a call would mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// True if the call may run more than once.
    pub is_idempotent: bool,
    /// True if the answer comes as a stream.
    pub is_streaming: bool,
}

/// Says when a second copy of a slow call is worth sending; one policy for each pool.
///
/// ```
/// use std::time::Duration;
/// use retry::{HedgeCandidate, HedgePolicy};
///
/// let mut policy = HedgePolicy::new();
/// for millis in 1..=100 {
///     policy.observe(Duration::from_millis(millis));
/// }
/// let lookup = HedgeCandidate { is_idempotent: true, is_streaming: false };
/// assert!(policy.hedge_after(lookup).unwrap() >= Duration::from_millis(90));
/// let posting = HedgeCandidate { is_idempotent: false, is_streaming: false };
/// assert_eq!(policy.hedge_after(posting), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct HedgePolicy {
    recent: VecDeque<Duration>,
    unread: usize,
    delay: Option<Duration>,
}

impl HedgePolicy {
    /// Policy of a pool of which nothing is known; it hedges nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in how long a call took that was answered whole.
    pub fn observe(&mut self, elapsed: Duration) {
        if self.recent.len() == RECENT_CALLS {
            self.recent.pop_front();
        }
        self.recent.push_back(elapsed);
        self.unread += 1;
        if self.recent.len() >= LEAST_CALLS && self.unread >= REFRESH_CALLS {
            self.refresh();
        }
    }

    /// How long to wait for the answer before a hedge; `None` if the call must not be hedged.
    pub fn hedge_after(&self, call: HedgeCandidate) -> Option<Duration> {
        if !call.is_idempotent || call.is_streaming {
            return None;
        }
        self.delay
    }

    fn refresh(&mut self) {
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * HEDGE_QUANTILE) as usize;
        self.delay = sorted.get(rank).copied();
        self.unread = 0;
    }
}
