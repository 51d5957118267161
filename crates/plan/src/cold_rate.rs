use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Share of the rate of a cold target that is used. The rest is for calls that are on their way for
/// longer than others, and for the moment in which two entries give out its calls.
const USED_SHARE: f64 = 0.75;
/// Longest interval between two calls, as long as a target can be cold.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(60);

/// What a cold target of a service bears: one that has just started, or has lost its caches.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdRate {
    /// Calls a second that a cold target takes from all entries together.
    pub per_second: f64,
}

impl ColdRate {
    /// Returns the mean interval between calls to a cold target, at most 60 s; `None` if the rate is
    /// not a positive number, or too large to bound anything.
    ///
    /// ```
    /// let rate = plan::ColdRate { per_second: 4.0 };
    /// assert!(rate.call_interval().unwrap() > std::time::Duration::from_millis(250));
    /// assert!(plan::ColdRate { per_second: 0.0 }.call_interval().is_none());
    /// ```
    pub fn call_interval(self) -> Option<Duration> {
        let used = self.per_second * USED_SHARE;
        let interval = Duration::try_from_secs_f64(1.0 / used).unwrap_or(MAX_CALL_INTERVAL);
        let interval = interval.min(MAX_CALL_INTERVAL);
        (used > 0.0 && !interval.is_zero()).then_some(interval)
    }
}
