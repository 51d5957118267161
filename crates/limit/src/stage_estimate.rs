use std::time::{Duration, Instant};

/// Weight of the latest call in the moving average.
const LATEST_WEIGHT: f64 = 0.1;
/// Time without new calls in which half of the difference to the nominal time decays.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Estimate of the service time of one stage of one pipeline, from the nominal time in the sheet
/// and the measured calls.
///
/// Without new calls the estimate decays to the nominal time. Otherwise an estimate so high that
/// every request is refused would never be corrected, since no call would be measured.
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
    /// Service time that the sheet gives.
    nominal_seconds: f64,
    /// Moving average of the call times, as of the last call.
    measured_seconds: f64,
    /// Time of the last call; `None` before the first one.
    last_observed_at: Option<Instant>,
}

impl StageEstimate {
    /// Creates an estimate without measurements.
    pub fn new(nominal: Duration) -> Self {
        let nominal_seconds = nominal.as_secs_f64();
        Self {
            nominal_seconds,
            measured_seconds: nominal_seconds,
            last_observed_at: None,
        }
    }

    /// Records the time of a call that was answered completely.
    pub fn observe(&mut self, elapsed: Duration, now: Instant) {
        self.measured_seconds = self.current_seconds(now);
        self.measured_seconds += LATEST_WEIGHT * (elapsed.as_secs_f64() - self.measured_seconds);
        self.last_observed_at = Some(now);
    }

    /// Returns the time that a call is expected to take.
    pub fn expected(&self, now: Instant) -> Duration {
        Duration::from_secs_f64(self.current_seconds(now).max(0.0))
    }

    fn current_seconds(&self, now: Instant) -> f64 {
        let Some(last_observed_at) = self.last_observed_at else {
            return self.measured_seconds;
        };
        let age = now
            .saturating_duration_since(last_observed_at)
            .as_secs_f64();
        let weight = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.nominal_seconds + (self.measured_seconds - self.nominal_seconds) * weight
    }
}
