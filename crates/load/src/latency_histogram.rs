use {
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Significant decimal digits that a histogram keeps.
const HISTOGRAM_DIGITS: u8 = 3;

/// Histogram of durations with microsecond resolution.
///
/// ```
/// use std::time::Duration;
///
/// let mut histogram = load::LatencyHistogram::new();
/// histogram.add(Duration::from_millis(20));
/// assert!((histogram.summary().p50_ms - 20.0).abs() < 0.1);
/// ```
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    histogram: Option<Histogram<u64>>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self {
            histogram: Histogram::new(HISTOGRAM_DIGITS).ok(),
        }
    }

    /// Adds one duration.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.histogram {
            let _ = histogram.record(micros);
        }
    }

    /// Adds all durations of another histogram.
    pub fn merge(&mut self, other: &Self) {
        if let (Some(histogram), Some(other)) = (&mut self.histogram, &other.histogram) {
            let _ = histogram.add(other);
        }
    }

    /// Returns the count, percentiles and maximum; all zero if nothing was added.
    pub fn summary(&self) -> LatencySummary {
        let Some(histogram) = &self.histogram else {
            return LatencySummary::default();
        };
        let millis = |micros: u64| micros as f64 / 1_000.0;
        let quantile_ms = |fraction| millis(histogram.value_at_quantile(fraction));
        LatencySummary {
            count: histogram.len(),
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p95_ms: quantile_ms(0.95),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: millis(histogram.max()),
        }
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}

/// Percentiles and maximum of a latency histogram in milliseconds, and its count.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LatencySummary {
    /// Number of durations recorded.
    pub count: u64,
    /// 50th percentile (median).
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}
