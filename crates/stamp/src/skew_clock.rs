use {
    crate::{ClockAheadError, HybridClock, HybridTime},
    std::time::Duration,
};

/// Subtracted from each skew estimate, in addition to the transmission time that lowers it anyway,
/// so that the skews of the fleet do not drive each other up.
const DEFAULT_MARGIN: Duration = Duration::from_millis(5);
/// Limit on the skew, and on how far a peer's time may be ahead of the corrected wall time.
const DEFAULT_MAX_AHEAD: Duration = Duration::from_secs(300);

/// Hybrid logical clock with skew correction. It adds an estimate of how far the wall clocks of
/// peers are ahead; the estimate is never lowered ("Distributed Logical Time", section "Using Skew
/// to fix the future").
///
/// The correction keeps events of processes that don't exchange messages in their real order even
/// if wall clocks are wrong. In return, times may stay ahead of real time until all processes are
/// replaced, by at most ten minutes: five for the skew and five for a peer's time ahead of the
/// corrected wall time.
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
    /// Creates a clock without skew and with the default margin of 5 ms.
    pub fn new() -> Self {
        Self::with_margin(DEFAULT_MARGIN)
    }

    /// Creates a clock that subtracts `margin` from each skew estimate.
    pub fn with_margin(margin: Duration) -> Self {
        Self {
            clock: HybridClock::with_max_ahead(DEFAULT_MAX_AHEAD),
            skew_us: 0,
            margin_us: u64::try_from(margin.as_micros()).unwrap_or(u64::MAX),
            max_ahead_us: u64::try_from(DEFAULT_MAX_AHEAD.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the time of a local event; `wall_us` is the wall time in microseconds since the
    /// Unix epoch.
    pub fn now(&mut self, wall_us: u64) -> HybridTime {
        self.clock.now(wall_us.saturating_add(self.skew_us))
    }

    /// Advances the clock past a peer's time, raises the skew if needed and returns the time of
    /// receipt; `wall_us` is the wall time in microseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Refuses a time that is too far ahead; the clock then ignores it.
    pub fn observe(
        &mut self,
        peer_time: HybridTime,
        wall_us: u64,
    ) -> Result<HybridTime, ClockAheadError> {
        let corrected_us = wall_us.saturating_add(self.skew_us);
        let received = self.clock.observe(peer_time, corrected_us)?;
        let estimate_us = peer_time
            .physical_us
            .saturating_sub(wall_us)
            .saturating_sub(self.margin_us);
        self.skew_us = self.skew_us.max(estimate_us.min(self.max_ahead_us));
        Ok(received)
    }

    /// Returns the skew that is added to the wall time.
    pub fn skew(&self) -> Duration {
        Duration::from_micros(self.skew_us)
    }
}

impl Default for SkewClock {
    fn default() -> Self {
        Self::new()
    }
}
