use std::{collections::VecDeque, time::Duration};

/// Number of most recent latencies from which the quantile is computed.
const MAX_RECENT_CALLS: usize = 256;
/// Minimum number of latencies; fewer give no usable quantile.
const MIN_CALLS: usize = 32;
/// Quantile of the latencies after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.97;
/// Number of calls after which the quantile is computed again.
const REFRESH_CALLS: usize = 8;

/// Properties of a call that decide whether it may be hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// True if the call may run more than once.
    pub is_idempotent: bool,
    /// True if the answer is streamed.
    pub is_streaming: bool,
}

/// Determines the delay after which a second copy of a slow call (a hedge) is sent, from the
/// latencies of earlier calls. Each pool has its own policy.
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
    recent_latencies: VecDeque<Duration>,
    /// Calls observed since the quantile was last computed.
    calls_since_refresh: usize,
    /// Latency at [`HEDGE_QUANTILE`]; `None` until enough calls were observed.
    hedge_delay: Option<Duration>,
}

impl HedgePolicy {
    /// Creates a policy without latencies, which does not hedge yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the latency of a call that got a complete answer.
    pub fn observe(&mut self, latency: Duration) {
        if self.recent_latencies.len() == MAX_RECENT_CALLS {
            self.recent_latencies.pop_front();
        }
        self.recent_latencies.push_back(latency);
        self.calls_since_refresh += 1;
        if self.recent_latencies.len() >= MIN_CALLS && self.calls_since_refresh >= REFRESH_CALLS {
            self.refresh_delay();
        }
    }

    /// Returns how long to wait for the answer before sending a hedge; `None` if the call must not
    /// be hedged or too few latencies are known.
    pub fn hedge_after(&self, call: HedgeCandidate) -> Option<Duration> {
        if !call.is_idempotent || call.is_streaming {
            return None;
        }
        self.hedge_delay
    }

    fn refresh_delay(&mut self) {
        let mut sorted: Vec<Duration> = self.recent_latencies.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * HEDGE_QUANTILE) as usize;
        self.hedge_delay = sorted.get(rank).copied();
        self.calls_since_refresh = 0;
    }
}
