use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How the rate of arrivals changes over a run; arrivals at a given rate are Poisson.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ArrivalShape {
    /// The same rate throughout.
    Poisson {
        /// Requests a second.
        rate: f64,
    },
    /// A higher rate at the start of each period.
    Burst {
        /// Requests a second between bursts.
        rate: f64,
        /// Requests a second within a burst.
        peak: f64,
        /// Time from the start of one burst to the start of the next.
        #[serde(with = "humantime_serde")]
        every: Duration,
        /// Length of a burst.
        #[serde(with = "humantime_serde")]
        length: Duration,
    },
    /// A rate that changes evenly from the start of the run to its end.
    Ramp {
        /// Requests a second at the start.
        from: f64,
        /// Requests a second at the end.
        to: f64,
    },
}

impl ArrivalShape {
    /// Requests a second at one moment of a run.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let shape = load::ArrivalShape::Ramp { from: 10.0, to: 30.0 };
    /// let duration = Duration::from_secs(10);
    /// assert_eq!(shape.rate_at(Duration::from_secs(5), duration), 20.0);
    /// ```
    pub fn rate_at(&self, at: Duration, duration: Duration) -> f64 {
        match *self {
            Self::Poisson { rate } => rate,
            Self::Burst {
                rate,
                peak,
                every,
                length,
            } => {
                let period = every.as_secs_f64().max(f64::MIN_POSITIVE);
                if at.as_secs_f64() % period < length.as_secs_f64() {
                    peak
                } else {
                    rate
                }
            }
            Self::Ramp { from, to } => {
                let elapsed_share =
                    at.as_secs_f64() / duration.as_secs_f64().max(f64::MIN_POSITIVE);
                from + (to - from) * elapsed_share
            }
        }
    }

    /// Highest rate of a run.
    pub fn peak_rate(&self) -> f64 {
        match *self {
            Self::Poisson { rate } => rate,
            Self::Burst { rate, peak, .. } => rate.max(peak),
            Self::Ramp { from, to } => from.max(to),
        }
    }
}
