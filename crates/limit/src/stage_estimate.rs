use std::time::{Duration, Instant};

/// Weight of the latest call in the estimate.
const LATEST_WEIGHT: f64 = 0.1;
/// Time after which an estimate that nothing confirms is half-way back to what the sheet says.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Time that one stage of one pipeline takes, from the sheet's figure and the calls seen.
///
/// What was measured fades when no call confirms it, so that an estimate which refuses every
/// request does not stand for ever.
///
/// ```
/// use {limit::StageEstimate, std::time::{Duration, Instant}};
///
/// let now = Instant::now();
/// let mut estimate = StageEstimate::new(Duration::from_millis(100));
/// for _ in 0..100 {
///     estimate.observe(Duration::from_millis(300), now);
/// }
/// assert!(estimate.expected(now) > Duration::from_millis(290));
/// assert!(estimate.expected(now + Duration::from_secs(60)) < Duration::from_millis(110));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct StageEstimate {
    nominal: f64,
    measured: f64,
    seen: Option<Instant>,
}

impl StageEstimate {
    /// Estimate of a stage of which nothing was measured.
    pub fn new(nominal: Duration) -> Self {
        let nominal = nominal.as_secs_f64();
        Self {
            nominal,
            measured: nominal,
            seen: None,
        }
    }

    /// Takes in a call that was answered whole.
    pub fn observe(&mut self, elapsed: Duration, now: Instant) {
        self.measured = self.current(now);
        self.measured += LATEST_WEIGHT * (elapsed.as_secs_f64() - self.measured);
        self.seen = Some(now);
    }

    /// Time that a call is expected to take.
    pub fn expected(&self, now: Instant) -> Duration {
        Duration::from_secs_f64(self.current(now).max(0.0))
    }

    fn current(&self, now: Instant) -> f64 {
        let Some(seen) = self.seen else {
            return self.measured;
        };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        let kept = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.nominal + (self.measured - self.nominal) * kept
    }
}
