use {
    base::{PipelineId, StageIndex},
    limit::StageEstimate,
    retry::{HedgeCandidate, HedgePolicy},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Measurements of one stage.
struct StageRecord {
    estimate: StageEstimate,
    hedges: HedgePolicy,
}

/// Service-time estimates and hedge policies of each stage of each pipeline.
#[derive(Default)]
pub struct StageStats {
    records: HashMap<(PipelineId, StageIndex), StageRecord>,
}

impl StageStats {
    /// Returns the expected service time of the stage. A stage without a record starts from
    /// `nominal`, the time in the sheet.
    pub fn expected(
        &mut self,
        pipeline: &str,
        stage: StageIndex,
        nominal: Duration,
        now: Instant,
    ) -> Duration {
        self.record(pipeline, stage, nominal).estimate.expected(now)
    }

    /// Records the time of a call that was answered completely.
    pub fn observe(&mut self, pipeline: &str, stage: StageIndex, elapsed: Duration, now: Instant) {
        let record = self.record(pipeline, stage, elapsed);
        record.estimate.observe(elapsed, now);
        record.hedges.observe(elapsed);
    }

    /// Returns the delay after which to send a hedge; `None` if the call must not be hedged or too
    /// few latencies are known.
    pub fn hedge_delay(
        &mut self,
        pipeline: &str,
        stage: StageIndex,
        call: HedgeCandidate,
    ) -> Option<Duration> {
        self.record(pipeline, stage, Duration::ZERO)
            .hedges
            .hedge_after(call)
    }

    fn record(&mut self, pipeline: &str, stage: StageIndex, nominal: Duration) -> &mut StageRecord {
        let key = (pipeline.to_string(), stage);
        self.records.entry(key).or_insert_with(|| StageRecord {
            estimate: StageEstimate::new(nominal),
            hedges: HedgePolicy::new(),
        })
    }
}
