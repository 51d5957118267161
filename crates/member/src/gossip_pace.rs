use {
    crate::MemberSettings,
    std::time::{Duration, Instant},
};

/// Time for which rounds stay hot, that is frequent, after a change of the daemon's own description,
/// which every heartbeat carries.
const HOT_PERIOD: Duration = Duration::from_secs(2);
/// Capacity of the byte bucket, as the number of seconds in which it refills.
const BURST_SECONDS: f64 = 2.0;

/// Decides when the next round of heartbeats is due, and limits the bytes sent by a token bucket.
#[derive(Debug)]
pub(crate) struct GossipPace {
    last_round: Option<Instant>,
    hot_until: Option<Instant>,
    bytes_left: f64,
    refilled_at: Option<Instant>,
}

impl GossipPace {
    /// Creates a pace whose byte bucket is full.
    pub(crate) fn new(settings: &MemberSettings) -> Self {
        Self {
            last_round: None,
            hot_until: None,
            bytes_left: f64::from(settings.bytes_per_second) * BURST_SECONDS,
            refilled_at: None,
        }
    }

    /// Makes rounds hot for `HOT_PERIOD`.
    pub(crate) fn start_hot_period(&mut self, now: Instant) {
        self.hot_until = Some(now + HOT_PERIOD);
    }

    /// True during a hot period that `start_hot_period` began.
    pub(crate) fn is_hot(&self, now: Instant) -> bool {
        self.hot_until.is_some_and(|until| until > now)
    }

    /// Returns when the next round is due, `None` before the first round.
    pub(crate) fn next_round(&self, interval: Duration) -> Option<Instant> {
        self.last_round.map(|last| last + interval)
    }

    /// Records the start of a round.
    pub(crate) fn start_round(&mut self, now: Instant) {
        self.last_round = Some(now);
    }

    /// Refills the byte bucket and returns whether it allows another datagram.
    pub(crate) fn may_send(&mut self, settings: &MemberSettings, now: Instant) -> bool {
        let rate = f64::from(settings.bytes_per_second);
        if let Some(refilled_at) = self.refilled_at {
            let seconds = now.saturating_duration_since(refilled_at).as_secs_f64();
            self.bytes_left = (self.bytes_left + seconds * rate).min(rate * BURST_SECONDS);
        }
        self.refilled_at = Some(now);
        self.bytes_left > 0.0
    }

    /// Subtracts the bytes of a sent datagram from the bucket, whose level may fall below zero.
    pub(crate) fn record_sent(&mut self, bytes: usize) {
        self.bytes_left -= bytes as f64;
    }
}
