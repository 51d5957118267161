use {
    crate::{LatencySummary, LoadTally, StageCost},
    base::{CustomerId, PipelineId},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt::Write},
};

/// Counts and percentiles of a group of requests, such as one customer's.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupReport {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests with a correct, complete answer within their deadline.
    pub attained: u64,
    /// Requests with a correct, complete answer after their deadline.
    pub late: u64,
    /// Share of requests that were attained, from 0 to 1.
    pub attainment: f64,
    /// Mean number of sends per request that reached an entry.
    pub calls_per_request: f64,
    /// Connections to entries that could not be established.
    pub failed_dials: u64,
    /// Time from scheduled arrival to the end of the answer, of complete answers only.
    pub latency: LatencySummary,
    /// Time from scheduled arrival to the first token of a stream.
    pub first_token: LatencySummary,
    /// Time between two successive tokens of a stream.
    pub token_gap: LatencySummary,
}

/// Number of faults by kind; a correct system has none, whatever the load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultCount {
    /// Answers that end early but claim to be complete.
    pub cut: u64,
    /// Answers whose length, digest or framing is inconsistent.
    pub broken: u64,
    /// Answers that do not belong to their request.
    pub misdelivered: u64,
    /// Requests without an answer within the deadline and its grace time.
    pub unanswered: u64,
    /// Connections that broke before the answer ended, at entries that were not to be killed.
    pub interrupted: u64,
    /// Postings that were applied more than once.
    pub doubled: u64,
    /// Postings that no target applied although the caller got a complete answer.
    pub lost: u64,
    /// Postings that were applied although an entry reported that the request did not run.
    pub ran_though_refused: u64,
}

impl FaultCount {
    /// Returns the number of faults of all kinds.
    ///
    /// ```
    /// let faults = load::FaultCount { cut: 1, lost: 2, ..Default::default() };
    /// assert_eq!(faults.total(), 3);
    /// ```
    pub fn total(&self) -> u64 {
        self.cut
            + self.broken
            + self.misdelivered
            + self.unanswered
            + self.interrupted
            + self.doubled
            + self.lost
            + self.ran_though_refused
    }
}

/// Results of one `camphor-load run`, as it writes them to JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Name of the workload.
    pub workload: String,
    /// Name of the case that the run belongs to; runs of one case are compared over seeds.
    pub case: String,
    /// Seed of the schedule.
    pub seed: u64,
    /// Time over which requests arrived, in seconds.
    pub seconds: f64,
    /// All requests.
    pub total: GroupReport,
    /// Requests by customer.
    pub customers: BTreeMap<CustomerId, GroupReport>,
    /// Requests by pipeline.
    pub pipelines: BTreeMap<PipelineId, GroupReport>,
    /// Requests by `customer/pipeline`.
    pub cells: BTreeMap<String, GroupReport>,
    /// Number of requests by outcome, failures as `verdict:reason`.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of refusals that callers received, also before a later success, by `verdict:reason`.
    pub refusals: BTreeMap<String, u64>,
    /// Number of connections that broke before the answer ended, by address of the entry.
    pub interruptions: BTreeMap<String, u64>,
    /// Number of faults by kind.
    pub faults: FaultCount,
    /// Service time by kind of call.
    pub stages: BTreeMap<String, StageCost>,
    /// Addresses of targets whose records could not be read.
    pub silent_targets: Vec<String>,
}

impl LoadReport {
    /// Creates the report of a tally. Connections that broke at the entries in `may_die` are no
    /// fault. The posting faults, the costs and the run's description stay empty; the caller fills
    /// them in.
    pub fn from_tally(tally: &LoadTally, may_die: &[String]) -> Self {
        let outcome_count = |name: &str| tally.outcomes().get(name).copied().unwrap_or(0);
        let interrupted = tally
            .interruptions()
            .iter()
            .filter(|(address, _)| !may_die.contains(address))
            .map(|(_, count)| count);
        Self {
            total: tally.total(),
            customers: tally.by_customer(),
            pipelines: tally.by_pipeline(),
            cells: tally.by_customer_and_pipeline(),
            outcomes: tally.outcomes().clone(),
            refusals: tally.refusals().clone(),
            interruptions: tally.interruptions().clone(),
            faults: FaultCount {
                cut: outcome_count("cut"),
                broken: outcome_count("broken"),
                misdelivered: outcome_count("misdelivered"),
                unanswered: outcome_count("unanswered"),
                interrupted: interrupted.sum(),
                ..FaultCount::default()
            },
            ..Self::default()
        }
    }

    /// Renders the report as tables.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{} {} seed {}: {} requests in {:.0} s, attainment {:.2} %, {:.3} calls a request, \
             {} failed dials\n\n",
            self.workload,
            self.case,
            self.seed,
            self.total.requests,
            self.seconds,
            self.total.attainment * 100.0,
            self.total.calls_per_request,
            self.total.failed_dials,
        );
        let groups = [
            ("pipeline", &self.pipelines),
            ("customer", &self.customers),
            ("customer/pipeline", &self.cells),
        ];
        for (title, rows) in groups {
            write_groups(&mut text, title, rows);
        }
        self.write_streams(&mut text);
        self.write_stages(&mut text);
        self.write_counts(&mut text);
        text
    }

    fn write_streams(&self, text: &mut String) {
        let title = "stream";
        let _ = writeln!(
            text,
            "{title:<34}{:>10}{:>10}{:>10}{:>10}{:>10}",
            "first p50", "p95", "gap p50", "p95", "max"
        );
        for (name, group) in &self.pipelines {
            let (first, gap) = (&group.first_token, &group.token_gap);
            if first.count > 0 {
                let _ = writeln!(
                    text,
                    "{name:<34}{:>10.1}{:>10.1}{:>10.1}{:>10.1}{:>10.1}",
                    first.p50_ms, first.p95_ms, gap.p50_ms, gap.p95_ms, gap.max_ms
                );
            }
        }
        text.push('\n');
    }

    fn write_stages(&self, text: &mut String) {
        let title = "stage";
        let _ = writeln!(
            text,
            "{title:<34}{:>10}{:>10}{:>10}{:>10}",
            "calls", "target s", "wasted s", "wasted %"
        );
        for (name, cost) in &self.stages {
            let _ = writeln!(
                text,
                "{name:<34}{:>10}{:>10.2}{:>10.2}{:>10.1}",
                cost.calls,
                cost.seconds,
                cost.wasted_seconds,
                100.0 * cost.wasted_seconds / cost.seconds.max(f64::MIN_POSITIVE)
            );
        }
        text.push('\n');
    }

    fn write_counts(&self, text: &mut String) {
        for (name, count) in &self.outcomes {
            let _ = writeln!(text, "{name:<34}{count:>10}");
        }
        for (name, count) in &self.refusals {
            let _ = writeln!(text, "refused on the way {name:<34}{count:>10}");
        }
        for (address, count) in &self.interruptions {
            let _ = writeln!(text, "connections broken at {address:<12}{count:>10}");
        }
        if !self.silent_targets.is_empty() {
            let names = self.silent_targets.join(" ");
            let _ = writeln!(text, "targets that could not be asked: {names}");
        }
        let faults = &self.faults;
        let _ = writeln!(
            text,
            "\nlost {} doubled {} cut {} broken {} misdelivered {} unanswered {} interrupted {} \
             ran though refused {}",
            faults.lost,
            faults.doubled,
            faults.cut,
            faults.broken,
            faults.misdelivered,
            faults.unanswered,
            faults.interrupted,
            faults.ran_though_refused
        );
    }
}

fn write_groups(text: &mut String, title: &str, rows: &BTreeMap<String, GroupReport>) {
    let _ = writeln!(
        text,
        "{title:<34}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}",
        "requests", "attained%", "late", "p50 ms", "p95 ms", "p99 ms"
    );
    for (name, group) in rows {
        let _ = writeln!(
            text,
            "{name:<34}{:>10}{:>10.2}{:>10}{:>10.1}{:>10.1}{:>10.1}",
            group.requests,
            group.attainment * 100.0,
            group.late,
            group.latency.p50_ms,
            group.latency.p95_ms,
            group.latency.p99_ms
        );
    }
    text.push('\n');
}
