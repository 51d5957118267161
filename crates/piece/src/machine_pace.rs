use std::time::{Duration, Instant};

/// Time after which what a target said of its machine tells nothing any more: it changes many times
/// a second.
const PACE_LIFETIME: Duration = Duration::from_millis(600);
/// Bounds of a usable figure, in percent of the usual time.
const PACE_RANGE: std::ops::RangeInclusive<f64> = 25.0..=1_000.0;

/// How long work takes on a machine that a target shares with others, against the usual time.
///
/// It answers this load pattern: a part of the targets take several times as long for some hundred
/// milliseconds at a time, each in turn.
///
/// ```
/// use {
///     piece::MachinePace,
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let pace = MachinePace::from_percent(250.0, now).unwrap();
/// assert_eq!(pace.factor(now), 2.5);
/// assert_eq!(pace.factor(now + Duration::from_secs(1)), 1.0);
/// assert!(MachinePace::from_percent(-7.0, now).is_none());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct MachinePace {
    factor: f64,
    said_at: Instant,
}

impl MachinePace {
    /// Reads a figure that a target stated, where 100 stands for the usual time; `None` if it is of
    /// no use.
    pub fn from_percent(percent: f64, now: Instant) -> Option<Self> {
        PACE_RANGE.contains(&percent).then_some(Self {
            factor: percent / 100.0,
            said_at: now,
        })
    }

    /// Returns the factor by which work takes longer now; it fades to 1 with the age of the figure.
    pub fn factor(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.said_at);
        let weight = 1.0 - age.as_secs_f64() / PACE_LIFETIME.as_secs_f64();
        1.0 + (self.factor - 1.0) * weight.max(0.0)
    }
}
