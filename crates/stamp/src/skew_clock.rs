use {
    crate::{ClockRefusal, HybridClock, HybridTime},
    std::time::Duration,
};

/// Added to the transmission time that a skew is underestimated by, so that skews don't creep up.
const DEFAULT_MARGIN: Duration = Duration::from_millis(5);
/// Largest skew, and farthest that a peer may push the clock beyond the corrected wall time.
const DEFAULT_MAX_AHEAD: Duration = Duration::from_secs(300);

/// The clock that processes use: a hybrid logical clock that also follows peers whose wall clocks
/// are ahead, by an estimate of the skew that is never lowered ("Distributed Logical Time",
/// section "Using Skew to fix the future").
///
/// It keeps events of processes that don't talk to each other in their real order where wall
/// clocks are wrong; for that, times may stay ahead of real time until all processes are
/// replaced, by ten minutes at most.
///
/// ```
/// use stamp::{HybridTime, SkewClock};
///
/// let mut clock = SkewClock::new();
/// let peer = HybridTime::new(61_000_000, 0);
/// clock.observe(peer, 1_000_000).unwrap();
/// assert_eq!(clock.now(31_000_000).physical_us, 90_995_000);
/// ```
#[derive(Debug, Clone)]
pub struct SkewClock {
    clock: HybridClock,
    skew_us: u64,
    margin_us: u64,
    max_ahead_us: u64,
}

impl SkewClock {
    /// Clock without skew.
    pub fn new() -> Self {
        Self::with_margin(DEFAULT_MARGIN)
    }

    /// Clock that lowers each estimate by this margin.
    pub fn with_margin(margin: Duration) -> Self {
        Self {
            clock: HybridClock::with_max_ahead(DEFAULT_MAX_AHEAD),
            skew_us: 0,
            margin_us: u64::try_from(margin.as_micros()).unwrap_or(u64::MAX),
            max_ahead_us: u64::try_from(DEFAULT_MAX_AHEAD.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Time of an event here, at a wall time in microseconds since the Unix epoch.
    pub fn now(&mut self, wall_us: u64) -> HybridTime {
        self.clock.now(wall_us.saturating_add(self.skew_us))
    }

    /// Time at which a peer's message is received.
    ///
    /// # Errors
    ///
    /// Refuses a time that is too far ahead; the clock then goes on as if none had come.
    pub fn observe(&mut self, peer: HybridTime, wall_us: u64) -> Result<HybridTime, ClockRefusal> {
        let corrected = wall_us.saturating_add(self.skew_us);
        let observed = self.clock.observe(peer, corrected)?;
        let estimate = peer
            .physical_us
            .saturating_sub(wall_us)
            .saturating_sub(self.margin_us);
        self.skew_us = self.skew_us.max(estimate.min(self.max_ahead_us));
        Ok(observed)
    }

    /// Skew that is added to the wall clock.
    pub fn skew(&self) -> Duration {
        Duration::from_micros(self.skew_us)
    }
}

impl Default for SkewClock {
    fn default() -> Self {
        Self::new()
    }
}
