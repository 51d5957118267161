use {
    crate::{ClockAheadError, HybridTime},
    std::time::Duration,
};

/// Limit on how far a peer's time may be ahead of the latest local wall time.
const DEFAULT_MAX_AHEAD: Duration = Duration::from_secs(300);

/// Hybrid logical clock without I/O. Every reading is later than the previous one, even if the
/// wall clock steps back, and later than every peer time that was observed.
///
/// ```
/// use stamp::{HybridClock, HybridTime};
///
/// let mut clock = HybridClock::new();
/// let first = clock.now(1_000);
/// let stepped_back = clock.now(400);
/// assert!(stepped_back > first);
///
/// let peer = HybridTime::new(5_000, 7);
/// assert!(clock.observe(peer, 500).unwrap() > peer);
/// assert!(clock.observe(HybridTime::new(u64::MAX, 0), 600).is_err());
/// ```
#[derive(Debug, Clone)]
pub struct HybridClock {
    latest: HybridTime,
    latest_wall_us: u64,
    max_ahead_us: u64,
}

impl HybridClock {
    /// Creates a clock that accepts peer times up to 300 s ahead.
    pub fn new() -> Self {
        Self::with_max_ahead(DEFAULT_MAX_AHEAD)
    }

    /// Creates a clock that refuses peer times farther ahead than `max_ahead`.
    pub fn with_max_ahead(max_ahead: Duration) -> Self {
        Self {
            latest: HybridTime::default(),
            latest_wall_us: 0,
            max_ahead_us: u64::try_from(max_ahead.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the time of a local event; `wall_us` is the wall time in microseconds since the
    /// Unix epoch.
    pub fn now(&mut self, wall_us: u64) -> HybridTime {
        self.latest_wall_us = self.latest_wall_us.max(wall_us);
        self.latest = if wall_us > self.latest.physical_us {
            HybridTime::new(wall_us, 0)
        } else {
            self.latest.successor()
        };
        self.latest
    }

    /// Advances the clock past a peer's time and returns the time of receipt; `wall_us` is the
    /// wall time in microseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Refuses a time that is too far ahead; the clock then ignores it.
    pub fn observe(
        &mut self,
        peer_time: HybridTime,
        wall_us: u64,
    ) -> Result<HybridTime, ClockAheadError> {
        self.latest_wall_us = self.latest_wall_us.max(wall_us);
        let limit_us = self.latest_wall_us.saturating_add(self.max_ahead_us);
        if peer_time.physical_us > limit_us {
            return Err(ClockAheadError {
                peer_time,
                limit_us,
            });
        }
        self.latest = self.latest.max(peer_time);
        Ok(self.now(wall_us))
    }
}

impl Default for HybridClock {
    fn default() -> Self {
        Self::new()
    }
}
