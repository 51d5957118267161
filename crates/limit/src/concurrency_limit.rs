use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Shortest duration of a measurement window; the limit may change at the end of each window.
const MIN_WINDOW_TIME: Duration = Duration::from_millis(250);
/// Minimum number of calls in a window, so that their mean latency is meaningful.
const MIN_WINDOW_CALLS: u32 = 10;
/// The limit does not shrink while the latency is at most this multiple of the baseline.
const SLOWDOWN_TOLERANCE: f64 = 1.5;
/// Smallest factor by which high latency may shrink the limit after one window.
const MIN_SHRINK_FACTOR: f64 = 0.7;
/// Factor by which the limit shrinks after a window with many refusals.
const BACKOFF_FACTOR: f64 = 0.85;
/// The limit shrinks after a window in which at least this share of the calls was refused.
const BACKOFF_REFUSAL_SHARE: f64 = 0.1;
/// Share of the difference to the mean of a slower window by which the baseline rises, while the
/// limit is not in full use. While the limit is in full use the baseline does not rise, so that
/// queueing caused by the limit is not mistaken for service time.
const BASELINE_RISE: f64 = 0.01;
/// Like `BASELINE_RISE`, but while the limit is at its lower bound, in full use or not.
const BASELINE_RISE_AT_MIN: f64 = 0.05;
/// Minimum mean latency in seconds, to avoid division by zero.
const MIN_LATENCY_SECONDS: f64 = 0.000_001;
/// The limit counts as fully used, and may grow, if at least this share of it is in use.
const GROWTH_UTILISATION: f64 = 0.8;
/// Mean reported load from which the targets count as full, as a share of their capacity.
const FULL_LOAD: f64 = 0.9;

/// Bounds of a concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRange {
    /// Lower bound of the limit: this number of calls may always run at once.
    pub min: u32,
    /// Upper bound of the limit.
    pub max: u32,
}

/// How a call that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The call was answered completely.
    Answered,
    /// The target refused the call because it was busy.
    Refused,
    /// The call was not answered in time; its elapsed time counts as its latency.
    TimedOut,
    /// The call ended for a reason that does not depend on load, for instance because it was
    /// cancelled or its target was lost.
    Ignored,
}

/// Adaptive limit on the number of concurrent calls to a pool.
///
/// The limit shrinks by a factor when calls are slower than the baseline latency or are refused,
/// and grows by its square root while it is in full use and calls are fast.
///
/// ```
/// use std::time::{Duration, Instant};
/// use limit::{ConcurrencyLimit, LimitRange, ReleaseOutcome};
///
/// let now = Instant::now();
/// let mut limit = ConcurrencyLimit::new(LimitRange { min: 2, max: 8 }, now);
/// assert!(limit.try_acquire());
/// assert!(limit.try_acquire());
/// assert!(!limit.try_acquire());
/// limit.release(ReleaseOutcome::Answered, Duration::from_millis(5), now);
/// assert!(limit.try_acquire());
///
/// limit.set_range(LimitRange { min: 4, max: 8 });
/// assert_eq!(limit.limit(), 4);
/// ```
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    range: LimitRange,
    /// Current limit with its fraction, which [`Self::limit`] cuts off.
    limit: f64,
    /// Calls that hold a slot.
    in_flight: u32,
    /// Latency without queueing at the targets; `None` before the first window.
    baseline_seconds: Option<f64>,
    window: LatencyWindow,
}

/// Measurements since the last adjustment of the limit.
#[derive(Debug, Clone)]
struct LatencyWindow {
    started_at: Instant,
    /// Calls that were answered or timed out.
    calls: u32,
    /// Sum of the latencies of these calls in seconds.
    total_seconds: f64,
    /// Largest number of calls that held a slot at once.
    max_in_flight: u32,
    refused_calls: u32,
    /// Number of load reports.
    load_reports: u32,
    /// Sum of the reported loads, each a share of the target's capacity.
    load_sum: f64,
}

impl LatencyWindow {
    fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            calls: 0,
            total_seconds: 0.0,
            max_in_flight: 0,
            refused_calls: 0,
            load_reports: 0,
            load_sum: 0.0,
        }
    }

    /// True if the targets report spare capacity, so that slow calls are not due to queueing.
    fn has_room(&self) -> bool {
        self.load_reports > 0 && self.load_sum / f64::from(self.load_reports) < FULL_LOAD
    }
}

impl ConcurrencyLimit {
    /// Creates a limit at its lower bound, so that the baseline is measured without queueing.
    pub fn new(range: LimitRange, now: Instant) -> Self {
        Self {
            range,
            limit: f64::from(range.min.max(1)),
            in_flight: 0,
            baseline_seconds: None,
            window: LatencyWindow::new(now),
        }
    }

    /// Sets new bounds, for instance after targets were added or removed.
    pub fn set_range(&mut self, range: LimitRange) {
        self.range = range;
        self.set_limit(self.limit);
    }

    /// Takes a slot for a call; false if none is free.
    pub fn try_acquire(&mut self) -> bool {
        if self.in_flight >= self.limit() {
            return false;
        }
        self.in_flight += 1;
        self.window.max_in_flight = self.window.max_in_flight.max(self.in_flight);
        true
    }

    /// Records the load that a target reported with an answer, as a share of its capacity.
    ///
    /// While the targets report spare capacity, calls are slow because they need more work or their
    /// targets are slower, not because they wait. The limit does not shrink for such calls.
    pub fn record_load(&mut self, load: f64) {
        self.window.load_reports += 1;
        self.window.load_sum += load;
    }

    /// Releases the slot of a call that took `elapsed`, and adjusts the limit at the end of a
    /// window.
    pub fn release(&mut self, outcome: ReleaseOutcome, elapsed: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            ReleaseOutcome::Answered | ReleaseOutcome::TimedOut => {
                self.window.calls += 1;
                self.window.total_seconds += elapsed.as_secs_f64();
            }
            ReleaseOutcome::Refused => self.window.refused_calls += 1,
            ReleaseOutcome::Ignored => {}
        }
        let age = now.saturating_duration_since(self.window.started_at);
        let has_enough_calls = self.window.calls + self.window.refused_calls >= MIN_WINDOW_CALLS;
        if age >= MIN_WINDOW_TIME && has_enough_calls {
            self.adjust(now);
        }
    }

    /// Returns the number of calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of calls that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adjusts the limit by the measurements of the window and starts the next window.
    fn adjust(&mut self, now: Instant) {
        let next_window = LatencyWindow::new(now);
        let window = std::mem::replace(&mut self.window, next_window);
        self.window.max_in_flight = self.in_flight;
        let ended_calls = f64::from(window.calls + window.refused_calls);
        if f64::from(window.refused_calls) >= BACKOFF_REFUSAL_SHARE * ended_calls {
            self.set_limit(self.limit * BACKOFF_FACTOR);
            return;
        }
        let mean_seconds =
            (window.total_seconds / f64::from(window.calls)).max(MIN_LATENCY_SECONDS);
        let is_fully_used = f64::from(window.max_in_flight) >= GROWTH_UTILISATION * self.limit;
        let baseline_seconds = self.next_baseline_seconds(mean_seconds, is_fully_used);
        self.baseline_seconds = Some(baseline_seconds);
        let shrink_factor = match window.has_room() {
            true => 1.0,
            false => {
                (SLOWDOWN_TOLERANCE * baseline_seconds / mean_seconds).clamp(MIN_SHRINK_FACTOR, 1.0)
            }
        };
        if shrink_factor < 1.0 {
            self.set_limit(self.limit * shrink_factor);
        } else if is_fully_used {
            self.set_limit(self.limit + self.limit.sqrt());
        }
    }

    /// Returns the baseline after a window. It falls to a lower mean at once and rises slowly.
    fn next_baseline_seconds(&self, mean_seconds: f64, is_fully_used: bool) -> f64 {
        let is_at_min = self.limit() <= self.range.min.max(1);
        let rise = match (is_at_min, is_fully_used) {
            (true, _) => BASELINE_RISE_AT_MIN,
            (false, false) => BASELINE_RISE,
            (false, true) => 0.0,
        };
        match self.baseline_seconds {
            Some(baseline_seconds) if mean_seconds > baseline_seconds => {
                baseline_seconds + rise * (mean_seconds - baseline_seconds)
            }
            _ => mean_seconds,
        }
    }

    fn set_limit(&mut self, limit: f64) {
        let min = f64::from(self.range.min.max(1));
        let max = f64::from(self.range.max).max(min);
        self.limit = limit.clamp(min, max);
    }
}
