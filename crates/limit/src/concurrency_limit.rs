use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Shortest time between two changes of the limit.
const WINDOW_TIME: Duration = Duration::from_millis(250);
/// Calls that a window must have seen before its mean means anything.
const WINDOW_CALLS: u32 = 10;
/// Slowdown against the baseline that is taken for granted.
const TOLERANCE: f64 = 1.5;
/// Smallest factor of one change.
const LEAST_FACTOR: f64 = 0.7;
/// Factor after a window with many refusals.
const BACKOFF_FACTOR: f64 = 0.85;
/// Share of refused calls in a window that shrinks the limit.
const BACKOFF_SHARE: f64 = 0.1;
/// Part of the way to a slower window that the baseline moves while the limit holds no call
/// back; a queue that the limit lets in is never taken for service.
const BASELINE_RISE: f64 = 0.01;
/// The same while the limit is at its lower bound.
const BASELINE_RISE_AT_MIN: f64 = 0.05;
/// Least mean latency in seconds, so that nothing is divided by zero.
const LEAST_LATENCY: f64 = 0.000_001;
/// Part of the limit that must be in use before it grows.
const GROWTH_USE: f64 = 0.8;

/// Mean reported load from which the targets count as full.
const FULL_LOAD: f64 = 0.9;

/// Bounds of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRange {
    /// Calls that may always run at once.
    pub min: u32,
    /// Calls that may run at once at most.
    pub max: u32,
}

/// How a call that held a place ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// It was answered whole.
    Answered,
    /// The target refused it because it was busy.
    Refused,
    /// It was not answered in time; it counts as a call that took so long.
    TimedOut,
    /// It says nothing about load, for instance a cancelled call or a lost target.
    Ignored,
}

/// Number of calls to a pool that may run at once; it follows what the targets can take.
///
/// The limit shrinks in proportion when calls take longer than the low baseline or are refused,
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
    limit: f64,
    in_flight: u32,
    baseline: Option<f64>,
    window: LatencyWindow,
}

/// What was seen since the last change of the limit.
#[derive(Debug, Clone)]
struct LatencyWindow {
    since: Instant,
    calls: u32,
    seconds: f64,
    busiest: u32,
    refused: u32,
    reports: u32,
    load: f64,
}

impl LatencyWindow {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            calls: 0,
            seconds: 0.0,
            busiest: 0,
            refused: 0,
            reports: 0,
            load: 0.0,
        }
    }

    /// True if the targets say that they have room, so that slow calls mean no queue there.
    fn has_room(&self) -> bool {
        self.reports > 0 && self.load / f64::from(self.reports) < FULL_LOAD
    }
}

impl ConcurrencyLimit {
    /// Limit that starts at its lower bound, so that the baseline is learnt without a queue.
    pub fn new(range: LimitRange, now: Instant) -> Self {
        Self {
            range,
            limit: f64::from(range.min.max(1)),
            in_flight: 0,
            baseline: None,
            window: LatencyWindow::new(now),
        }
    }

    /// Takes over new bounds, for instance when targets came or went.
    pub fn set_range(&mut self, range: LimitRange) {
        self.range = range;
        self.set_limit(self.limit);
    }

    /// Takes a place for a call; false if none is free.
    pub fn try_acquire(&mut self) -> bool {
        if self.in_flight >= self.limit() {
            return false;
        }
        self.in_flight += 1;
        self.window.busiest = self.window.busiest.max(self.in_flight);
        true
    }

    /// Takes in the load that a target reported with an answer.
    ///
    /// As long as the targets report room, calls that take longer are longer calls or slower
    /// targets, and the limit does not shrink for them.
    pub fn record_load(&mut self, load: f64) {
        self.window.reports += 1;
        self.window.load += load;
    }

    /// Gives a place back.
    pub fn release(&mut self, outcome: ReleaseOutcome, elapsed: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            ReleaseOutcome::Answered | ReleaseOutcome::TimedOut => {
                self.window.calls += 1;
                self.window.seconds += elapsed.as_secs_f64();
            }
            ReleaseOutcome::Refused => self.window.refused += 1,
            ReleaseOutcome::Ignored => {}
        }
        let age = now.saturating_duration_since(self.window.since);
        let full = self.window.calls + self.window.refused >= WINDOW_CALLS;
        if age >= WINDOW_TIME && full {
            self.adjust(now);
        }
    }

    /// Calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Calls that hold a place.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn adjust(&mut self, now: Instant) {
        let next = LatencyWindow::new(now);
        let window = std::mem::replace(&mut self.window, next);
        self.window.busiest = self.in_flight;
        let ended = f64::from(window.calls + window.refused);
        if f64::from(window.refused) >= BACKOFF_SHARE * ended {
            self.set_limit(self.limit * BACKOFF_FACTOR);
            return;
        }
        let mean = (window.seconds / f64::from(window.calls)).max(LEAST_LATENCY);
        let in_use = f64::from(window.busiest) >= GROWTH_USE * self.limit;
        let baseline = self.next_baseline(mean, in_use);
        self.baseline = Some(baseline);
        let factor = match window.has_room() {
            true => 1.0,
            false => (TOLERANCE * baseline / mean).clamp(LEAST_FACTOR, 1.0),
        };
        if factor < 1.0 {
            self.set_limit(self.limit * factor);
        } else if in_use {
            self.set_limit(self.limit + self.limit.sqrt());
        }
    }

    /// The baseline falls at once and rises slowly.
    fn next_baseline(&self, mean: f64, in_use: bool) -> f64 {
        let at_min = self.limit() <= self.range.min.max(1);
        let rise = match (at_min, in_use) {
            (true, _) => BASELINE_RISE_AT_MIN,
            (false, false) => BASELINE_RISE,
            (false, true) => 0.0,
        };
        match self.baseline {
            Some(baseline) if mean > baseline => baseline + rise * (mean - baseline),
            _ => mean,
        }
    }

    fn set_limit(&mut self, limit: f64) {
        let least = f64::from(self.range.min.max(1));
        let most = f64::from(self.range.max).max(least);
        self.limit = limit.clamp(least, most);
    }
}
