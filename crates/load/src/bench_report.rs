use {
    crate::LatencySummary,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt::Write},
};

/// Time of the same call made directly and through an entry, in one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddedTime {
    /// Calls a second on each way.
    pub rate: f64,
    /// Directly to the target.
    pub direct: LatencySummary,
    /// Through the entry.
    pub entry: LatencySummary,
    /// Calls that did not end whole, on both ways.
    pub failures: u64,
}

/// What one entry carried with a fixed number of callers, each sending again at once.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SustainedRate {
    /// Callers.
    pub callers: usize,
    /// Whole answers a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
    /// Processor time of each process over the time of the run, by process id.
    pub cores: BTreeMap<u32, f64>,
    /// Requests that did not end whole.
    pub failures: u64,
}

/// Everything that one bench run measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchReport {
    /// Added time of unary calls and of the first token, by name.
    pub added: BTreeMap<String, AddedTime>,
    /// Sustained rates, by pipeline.
    pub sustained: BTreeMap<String, SustainedRate>,
}

impl BenchReport {
    /// The report as text for a person.
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
