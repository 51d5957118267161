use std::time::Duration;

/// How often engines are read and how long what was read may be relied on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderLimits {
    /// Longest time between the start of a reading and the order that follows from it; also the
    /// longest time for which a list of live hosts is relied on.
    pub lease: Duration,
    /// Time between two readings of one engine.
    pub read_period: Duration,
    /// Shortest time between two orders of one sheet to one engine.
    pub repair_pause: Duration,
    /// Loads a second that the weight store grants the whole fleet.
    pub loads_per_second: f64,
}

impl OrderLimits {
    /// Wait of a new owner before its first order to an engine that ignores fencing: the old
    /// owner may take a lease to notice that it is none, and a further one for its last order.
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
