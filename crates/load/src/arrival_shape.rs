use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Arrival rate as a function of time; the arrivals form a Poisson process at that rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum ArrivalShape {
    /// A constant rate.
    Poisson {
        /// Requests per second.
        rate: f64,
    },
    /// A base rate, with a burst at the start of each period.
    Burst {
        /// Requests per second between bursts.
        rate: f64,
        /// Requests per second within a burst.
        peak: f64,
        /// Time from the start of one burst to the start of the next.
        #[serde(with = "humantime_serde")]
        every: Duration,
        /// Duration of a burst.
        #[serde(with = "humantime_serde")]
        length: Duration,
    },
    /// A rate that changes linearly from the start of the run to its end.
    Ramp {
        /// Requests per second at the start.
        from: f64,
        /// Requests per second at the end.
        to: f64,
    },
}

impl ArrivalShape {
    /// Returns the requests per second at the time `at` of a run of this duration.
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

    /// Returns the highest rate that the shape can reach, in requests per second.
    pub fn peak_rate(&self) -> f64 {
        match *self {
            Self::Poisson { rate } => rate,
            Self::Burst { rate, peak, .. } => rate.max(peak),
            Self::Ramp { from, to } => from.max(to),
        }
    }
}
