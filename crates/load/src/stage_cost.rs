use {
    serde::{Deserialize, Serialize},
    stand::{CallOutcome, CallRecord, StandControl},
    std::collections::{BTreeMap, BTreeSet},
};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Service time that targets spent on one kind of call.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageCost {
    /// Number of calls that ran.
    pub calls: u64,
    /// Service time at each target's own speed, in seconds, without the wait for a slot.
    pub seconds: f64,
    /// Part of `seconds` spent on requests that were not attained.
    pub wasted_seconds: f64,
}

/// Sums the service time of targets by kind of call.
///
/// ```
/// let tally = load::CostTally::new(Default::default());
/// assert!(tally.stages().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct CostTally {
    attained: BTreeSet<String>,
    stages: BTreeMap<String, StageCost>,
}

impl CostTally {
    /// Creates a tally; `attained` holds the requests with a complete answer in time, by
    /// `customer/request`.
    pub fn new(attained: BTreeSet<String>) -> Self {
        Self {
            attained,
            stages: BTreeMap::new(),
        }
    }

    /// Adds the records of one target, whose service times `control` gives.
    pub fn add_target(&mut self, records: &[CallRecord], control: &StandControl) {
        for record in records {
            self.add_record(record, control);
        }
    }

    /// Returns the cost by kind of call.
    pub fn stages(&self) -> &BTreeMap<String, StageCost> {
        &self.stages
    }

    fn add_record(&mut self, record: &CallRecord, control: &StandControl) {
        let seconds = service_seconds(record, control);
        if seconds <= 0.0 {
            return;
        }
        let key = format!("{}/{}", record.call.customer, record.call.request);
        let is_wasted = !self.attained.contains(&key);
        let cost = self.stages.entry(record.name.clone()).or_default();
        cost.calls += 1;
        cost.seconds += seconds;
        if is_wasted {
            cost.wasted_seconds += seconds;
        }
    }
}

/// Returns the service time of a call in seconds, computed from its target's settings and speed. A
/// call to an engine counts with the tokens that were sent; a running, refused or failed plain call
/// counts as zero.
fn service_seconds(record: &CallRecord, control: &StandControl) -> f64 {
    let is_engine = record.tokens_sent > 0;
    let millis = match record.outcome {
        _ if is_engine => control.prefill_ms + control.token_ms * record.tokens_sent as f64,
        CallOutcome::Done | CallOutcome::Cancelled => control.delay_ms,
        CallOutcome::Running | CallOutcome::Refused | CallOutcome::Failed => 0.0,
    };
    millis / control.speed / MILLIS_PER_SECOND
}
