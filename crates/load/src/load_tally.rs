use {
    crate::{GroupReport, LatencyRecord, RequestOutcome},
    base::{CustomerId, PipelineId, RequestId},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// All that is known of one request when it is over.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestResult {
    /// Customer that asked.
    pub customer: CustomerId,
    /// Pipeline that was asked for.
    pub pipeline: PipelineId,
    /// Id of the request.
    pub request: RequestId,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// Time from the scheduled arrival to the end.
    pub latency: Duration,
    /// Time in which the answer had to be whole.
    pub deadline: Duration,
    /// Calls that reached an entry, address questions left out.
    pub calls: u32,
    /// Connections to entries that could not be made.
    pub failed_dials: u32,
    /// Connections that ended before their answer did, by address of the entry.
    pub interruptions: Vec<String>,
    /// Refusals on the way, the last one included, as `verdict:reason`.
    pub refusals: BTreeMap<String, u64>,
    /// Time from the scheduled arrival to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// True if a whole answer must have left a posting.
    pub posting: bool,
}

impl RequestResult {
    /// True if the answer was whole within the deadline.
    pub fn is_attained(&self) -> bool {
        self.outcome == RequestOutcome::Whole && self.latency <= self.deadline
    }

    /// Customer and request, as targets name postings.
    pub fn posting_key(&self) -> String {
        format!("{}/{}", self.customer, self.request)
    }
}

/// Counts and times of the requests that share customer and pipeline.
#[derive(Debug, Clone, Default)]
struct GroupTally {
    requests: u64,
    attained: u64,
    late: u64,
    calls: u64,
    failed_dials: u64,
    latency: LatencyRecord,
    first_token: LatencyRecord,
    token_gap: LatencyRecord,
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

/// Takes in each request when it is over.
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
    /// Tally of a run that has not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a request that is over.
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

    /// Sum over all customers and pipelines.
    pub fn total(&self) -> GroupReport {
        self.sum(|_| true)
    }

    /// Report of each customer.
    pub fn by_customer(&self) -> BTreeMap<CustomerId, GroupReport> {
        let names: BTreeSet<&CustomerId> = self.groups.keys().map(|(name, _)| name).collect();
        let report = |name: &CustomerId| (name.clone(), self.sum(|(customer, _)| customer == name));
        names.into_iter().map(report).collect()
    }

    /// Report of each pipeline.
    pub fn by_pipeline(&self) -> BTreeMap<PipelineId, GroupReport> {
        let names: BTreeSet<&PipelineId> = self.groups.keys().map(|(_, name)| name).collect();
        let report = |name: &PipelineId| (name.clone(), self.sum(|(_, pipeline)| pipeline == name));
        names.into_iter().map(report).collect()
    }

    /// Report of each customer at each pipeline, by `customer/pipeline`.
    pub fn by_customer_and_pipeline(&self) -> BTreeMap<String, GroupReport> {
        let report = |((customer, pipeline), group): (&(String, String), &GroupTally)| {
            (format!("{customer}/{pipeline}"), group.report())
        };
        self.groups.iter().map(report).collect()
    }

    /// Number of requests by the name of their outcome.
    pub fn outcomes(&self) -> &BTreeMap<String, u64> {
        &self.outcomes
    }

    /// Connections that ended before their answer did, by address of the entry.
    pub fn interruptions(&self) -> &BTreeMap<String, u64> {
        &self.interruptions
    }

    /// Refusals on the way, as `verdict:reason`.
    pub fn refusals(&self) -> &BTreeMap<String, u64> {
        &self.refusals
    }

    /// Keys of the requests that were whole within their deadline.
    pub fn attained_keys(&self) -> &BTreeSet<String> {
        &self.attained_keys
    }

    /// Keys of the requests that must have been posted once.
    pub fn must_post(&self) -> &BTreeSet<String> {
        &self.must_post
    }

    /// Keys of the requests of which an entry said that they were not run.
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
