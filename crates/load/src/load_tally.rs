use {
    crate::{GroupReport, LatencyHistogram, RequestOutcome},
    base::{CustomerId, PipelineId, RequestId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Result and measurements of one request that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestResult {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Pipeline that was requested.
    pub pipeline: PipelineId,
    /// Id of the request.
    pub request: RequestId,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time from the scheduled arrival to the end of the request, whatever the outcome.
    pub latency: Duration,
    /// Time from the scheduled arrival within which the answer had to be complete.
    pub deadline: Duration,
    /// Sends that reached an entry; requests for addresses are not counted.
    pub calls: u32,
    /// Connections to entries that could not be established.
    pub failed_dials: u32,
    /// Addresses of entries whose connection broke before the answer ended, one per break.
    pub interruptions: Vec<String>,
    /// Number of refusals, the final one included, by `verdict:reason`.
    pub refusals: BTreeMap<String, u64>,
    /// Time from the scheduled arrival to the first token; `None` if none arrived.
    pub first_token: Option<Duration>,
    /// Times between successive tokens.
    pub gaps: Vec<Duration>,
    /// True if a complete answer implies that a target applied a posting.
    pub posting: bool,
}

impl RequestResult {
    /// Returns true if the correct answer was complete within the deadline.
    pub fn is_attained(&self) -> bool {
        self.outcome == RequestOutcome::Whole && self.latency <= self.deadline
    }

    /// Returns `customer/request`, the key under which targets report the posting.
    pub fn posting_key(&self) -> String {
        format!("{}/{}", self.customer, self.request)
    }
}

/// Counts and latencies of the requests of one customer to one pipeline.
#[derive(Debug, Clone, Default)]
struct GroupTally {
    requests: u64,
    attained: u64,
    late: u64,
    calls: u64,
    failed_dials: u64,
    latency: LatencyHistogram,
    first_token: LatencyHistogram,
    token_gap: LatencyHistogram,
}

impl GroupTally {
    fn add(&mut self, result: &RequestResult) {
        self.requests += 1;
        self.calls += u64::from(result.calls);
        self.failed_dials += u64::from(result.failed_dials);
        if result.is_attained() {
            self.attained += 1;
        }
        if result.outcome == RequestOutcome::Whole {
            self.late += u64::from(!result.is_attained());
            self.latency.add(result.latency);
        }
        if let Some(time) = result.first_token {
            self.first_token.add(time);
        }
        for token_gap in &result.gaps {
            self.token_gap.add(*token_gap);
        }
    }

    fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.attained += other.attained;
        self.late += other.late;
        self.calls += other.calls;
        self.failed_dials += other.failed_dials;
        self.latency.merge(&other.latency);
        self.first_token.merge(&other.first_token);
        self.token_gap.merge(&other.token_gap);
    }

    fn report(&self) -> GroupReport {
        GroupReport {
            requests: self.requests,
            attained: self.attained,
            late: self.late,
            attainment: ratio(self.attained, self.requests),
            calls_per_request: ratio(self.calls, self.requests),
            failed_dials: self.failed_dials,
            latency: self.latency.summary(),
            first_token: self.first_token.summary(),
            token_gap: self.token_gap.summary(),
        }
    }
}

/// Counts and latencies of a run, by customer and pipeline.
///
/// ```
/// let tally = load::LoadTally::new();
/// assert_eq!(tally.total().requests, 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadTally {
    groups: BTreeMap<(CustomerId, PipelineId), GroupTally>,
    outcomes: BTreeMap<String, u64>,
    interruptions: BTreeMap<String, u64>,
    refusals: BTreeMap<String, u64>,
    attained_keys: BTreeSet<String>,
    must_post: BTreeSet<String>,
    must_not_post: BTreeSet<String>,
}

impl LoadTally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request that has ended.
    pub fn add(&mut self, result: &RequestResult) {
        let key = (result.customer.clone(), result.pipeline.clone());
        self.groups.entry(key).or_default().add(result);
        *self.outcomes.entry(result.outcome.name()).or_default() += 1;
        for address in &result.interruptions {
            *self.interruptions.entry(address.clone()).or_default() += 1;
        }
        for (name, count) in &result.refusals {
            *self.refusals.entry(name.clone()).or_default() += count;
        }
        if result.is_attained() {
            self.attained_keys.insert(result.posting_key());
        }
        if result.posting {
            self.record_expected_posting(result);
        }
    }

    /// Returns the report of all requests.
    pub fn total(&self) -> GroupReport {
        self.sum(|_| true)
    }

    /// Returns the report of each customer.
    pub fn by_customer(&self) -> BTreeMap<CustomerId, GroupReport> {
        let names: BTreeSet<&CustomerId> = self.groups.keys().map(|(name, _)| name).collect();
        let report = |name: &CustomerId| (name.clone(), self.sum(|(customer, _)| customer == name));
        names.into_iter().map(report).collect()
    }

    /// Returns the report of each pipeline.
    pub fn by_pipeline(&self) -> BTreeMap<PipelineId, GroupReport> {
        let names: BTreeSet<&PipelineId> = self.groups.keys().map(|(_, name)| name).collect();
        let report = |name: &PipelineId| (name.clone(), self.sum(|(_, pipeline)| pipeline == name));
        names.into_iter().map(report).collect()
    }

    /// Returns the report of each customer at each pipeline, by `customer/pipeline`.
    pub fn by_customer_and_pipeline(&self) -> BTreeMap<String, GroupReport> {
        let report = |((customer, pipeline), group): (&(String, String), &GroupTally)| {
            (format!("{customer}/{pipeline}"), group.report())
        };
        self.groups.iter().map(report).collect()
    }

    /// Returns the number of requests by `RequestOutcome::name`.
    pub fn outcomes(&self) -> &BTreeMap<String, u64> {
        &self.outcomes
    }

    /// Returns the number of connections that broke before the answer ended, by address of the
    /// entry.
    pub fn interruptions(&self) -> &BTreeMap<String, u64> {
        &self.interruptions
    }

    /// Returns the number of refusals, final or not, by `verdict:reason`.
    pub fn refusals(&self) -> &BTreeMap<String, u64> {
        &self.refusals
    }

    /// Returns the keys of the requests whose correct answer was complete within the deadline.
    pub fn attained_keys(&self) -> &BTreeSet<String> {
        &self.attained_keys
    }

    /// Returns the keys of the requests whose posting must have been applied exactly once.
    pub fn must_post(&self) -> &BTreeSet<String> {
        &self.must_post
    }

    /// Returns the keys of the requests whose posting must not have been applied, since an entry
    /// reported that the request did not run.
    pub fn must_not_post(&self) -> &BTreeSet<String> {
        &self.must_not_post
    }

    fn record_expected_posting(&mut self, result: &RequestResult) {
        match &result.outcome {
            RequestOutcome::Whole => {
                self.must_post.insert(result.posting_key());
            }
            RequestOutcome::Refused {
                verdict: base::RunVerdict::NotRun,
                earlier_may_have_run: false,
                ..
            } => {
                self.must_not_post.insert(result.posting_key());
            }
            _ => {}
        }
    }

    fn sum(&self, is_included: impl Fn(&(CustomerId, PipelineId)) -> bool) -> GroupReport {
        let mut total = GroupTally::default();
        for (key, group) in &self.groups {
            if is_included(key) {
                total.merge(group);
            }
        }
        total.report()
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
