use {
    crate::LatencySummary,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt::Write},
};

/// Latency of the same call sent directly and through an entry, alternately in one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedTime {
    /// Calls per second on each route.
    pub rate: f64,
    /// Latency of calls sent directly to the target.
    pub direct: LatencySummary,
    /// Latency of calls sent through the entry.
    pub entry: LatencySummary,
    /// Calls without a correct, complete answer, summed over both routes.
    pub failures: u64,
}

/// Rate that one entry sustained with a fixed number of closed-loop callers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SustainedRate {
    /// Number of callers; each sends its next request as soon as the last one ended.
    pub callers: usize,
    /// Correct, complete answers per second.
    pub requests: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// CPU time of each process divided by the duration of the measurement, by process id.
    pub cores: BTreeMap<u32, f64>,
    /// Requests without a correct, complete answer.
    pub failures: u64,
}

/// Results of one `camphor-load bench`, as it writes them to JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchReport {
    /// Latencies on both routes, by pipeline with one stage: to the end of unary answers, to the
    /// first token of streams.
    pub added: BTreeMap<String, AddedTime>,
    /// Sustained rates, by pipeline.
    pub sustained: BTreeMap<String, SustainedRate>,
}

impl BenchReport {
    /// Renders the report as a table.
    ///
    /// ```
    /// assert!(load::BenchReport::default().to_text().starts_with("added time"));
    /// ```
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<20}{:>8}{:>12}{:>12}{:>12}{:>12}{:>10}\n",
            "added time",
            "rate/s",
            "direct p50",
            "entry p50",
            "direct p99",
            "entry p99",
            "failures"
        );
        for (name, added) in &self.added {
            let (direct, entry) = (&added.direct, &added.entry);
            let _ = writeln!(
                text,
                "{name:<20}{:>8.0}{:>12.3}{:>12.3}{:>12.3}{:>12.3}{:>10}",
                added.rate,
                direct.p50_ms,
                entry.p50_ms,
                direct.p99_ms,
                entry.p99_ms,
                added.failures
            );
        }
        let _ = writeln!(
            text,
            "\n{:<20}{:>8}{:>12}{:>12}{:>10}  cores (us a request) by process",
            "sustained", "callers", "requests/s", "tokens/s", "failures"
        );
        for (name, rate) in &self.sustained {
            let _ = write!(
                text,
                "{name:<20}{:>8}{:>12.0}{:>12.0}{:>10}",
                rate.callers, rate.requests, rate.tokens, rate.failures
            );
            for (process, cores) in &rate.cores {
                let micros = cores * 1e6 / rate.requests.max(f64::MIN_POSITIVE);
                let _ = write!(text, "  {process}: {cores:.2} ({micros:.0})");
            }
            text.push('\n');
        }
        text
    }
}
