use {
    crate::MemberSettings,
    std::time::{Duration, Instant},
};

/// Time for which heartbeats stay fast after news that heartbeats themselves carry.
const HOT_TIME: Duration = Duration::from_secs(2);
/// Seconds of the byte rate that may be saved up for a burst.
const BURST_SECONDS: f64 = 2.0;

/// When the next heartbeats go out, and how many bytes they may take.
#[derive(Debug)]
pub(crate) struct GossipPace {
    last_round: Option<Instant>,
    hot_until: Option<Instant>,
    bytes: f64,
    refilled: Option<Instant>,
}

impl GossipPace {
    /// Pace with a full allowance.
    pub(crate) fn new(settings: &MemberSettings) -> Self {
        Self {
            last_round: None,
            hot_until: None,
            bytes: f64::from(settings.bytes_per_second) * BURST_SECONDS,
            refilled: None,
        }
    }

    /// Makes heartbeats fast for a while.
    pub(crate) fn heat(&mut self, now: Instant) {
        self.hot_until = Some(now + HOT_TIME);
    }

    /// True while heartbeats are fast on account of `heat`.
    pub(crate) fn is_hot(&self, now: Instant) -> bool {
        self.hot_until.is_some_and(|until| until > now)
    }

    /// When the next round is due.
    pub(crate) fn next_round(&self, interval: Duration) -> Option<Instant> {
        self.last_round.map(|last| last + interval)
    }

    /// Starts a round.
    pub(crate) fn start_round(&mut self, now: Instant) {
        self.last_round = Some(now);
    }

    /// True while heartbeats may be sent.
    pub(crate) fn may_send(&mut self, settings: &MemberSettings, now: Instant) -> bool {
        let rate = f64::from(settings.bytes_per_second);
        if let Some(refilled) = self.refilled {
            let seconds = now.saturating_duration_since(refilled).as_secs_f64();
            self.bytes = (self.bytes + seconds * rate).min(rate * BURST_SECONDS);
        }
        self.refilled = Some(now);
        self.bytes > 0.0
    }

    /// Notes bytes that were sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}
