use {
    crate::{ClockRefusal, HybridTime},
    std::time::Duration,
};

/// Farthest that a peer may push a clock beyond the latest wall time seen here.
const DEFAULT_MAX_AHEAD: Duration = Duration::from_secs(300);

/// Hybrid logical clock without I/O: every reading is larger than the one before, whatever the
/// wall clock does, and larger than every peer's time that was observed.
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
    /// Clock that has seen nothing.
    pub fn new() -> Self {
        Self::with_max_ahead(DEFAULT_MAX_AHEAD)
    }

    /// Clock that refuses peers farther ahead than this.
    pub fn with_max_ahead(max_ahead: Duration) -> Self {
        Self {
            latest: HybridTime::default(),
            latest_wall_us: 0,
            max_ahead_us: u64::try_from(max_ahead.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Time of an event here, at a wall time in microseconds since the Unix epoch.
    pub fn now(&mut self, wall_us: u64) -> HybridTime {
        self.latest_wall_us = self.latest_wall_us.max(wall_us);
        self.latest = if wall_us > self.latest.physical_us {
            HybridTime::new(wall_us, 0)
        } else {
            self.latest.successor()
        };
        self.latest
    }

    /// Time at which a peer's message is received.
    ///
    /// # Errors
    ///
    /// Refuses a time that is too far ahead; the clock then goes on as if none had come.
    pub fn observe(&mut self, peer: HybridTime, wall_us: u64) -> Result<HybridTime, ClockRefusal> {
        self.latest_wall_us = self.latest_wall_us.max(wall_us);
        let limit_us = self.latest_wall_us.saturating_add(self.max_ahead_us);
        if peer.physical_us > limit_us {
            return Err(ClockRefusal { peer, limit_us });
        }
        self.latest = self.latest.max(peer);
        Ok(self.now(wall_us))
    }
}

impl Default for HybridClock {
    fn default() -> Self {
        Self::new()
    }
}
