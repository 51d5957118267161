use std::time::Duration;

/// Periods and limits of the order planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderLimits {
    /// Longest time between the start of a reading and the order that follows from it. A list of
    /// live hosts expires after the same time.
    pub lease: Duration,
    /// Interval between two readings of one engine.
    pub read_period: Duration,
    /// Shortest interval between two orders of the same sheet to one engine.
    pub repair_pause: Duration,
    /// Model loads per second that the weight store allows for the whole fleet.
    pub loads_per_second: f64,
}

impl OrderLimits {
    /// Returns how long a new owner waits before its first order to an engine that ignores fencing:
    /// the previous owner may need one lease to notice that it lost the target, and a second one
    /// until its last order expires.
    ///
    /// ```
    /// let limits = order::OrderLimits::default();
    /// assert_eq!(limits.takeover_wait(), limits.lease * 2);
    /// ```
    pub fn takeover_wait(&self) -> Duration {
        self.lease * 2
    }
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            read_period: Duration::from_secs(2),
            repair_pause: Duration::from_secs(5),
            loads_per_second: 2.0,
        }
    }
}
