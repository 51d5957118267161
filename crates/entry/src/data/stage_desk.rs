use {
    base::{PipelineId, StageIndex},
    limit::StageEstimate,
    retry::{HedgeCandidate, HedgePolicy},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Times and hedges of one stage.
struct StageRecord {
    estimate: StageEstimate,
    hedges: HedgePolicy,
}

/// What was measured of each stage of each pipeline.
#[derive(Default)]
pub struct StageDesk {
    records: HashMap<(PipelineId, StageIndex), StageRecord>,
}

impl StageDesk {
    /// Time that the stage is expected to take; `nominal` is what the sheet says.
    pub fn expected(
        &mut self,
        pipeline: &str,
        stage: StageIndex,
        nominal: Duration,
        now: Instant,
    ) -> Duration {
        self.record(pipeline, stage, nominal).estimate.expected(now)
    }

    /// Takes in a call that was answered whole.
    pub fn observe(&mut self, pipeline: &str, stage: StageIndex, elapsed: Duration, now: Instant) {
        let record = self.record(pipeline, stage, elapsed);
        record.estimate.observe(elapsed, now);
        record.hedges.observe(elapsed);
    }

    /// Time after which a second call is worth its cost.
    pub fn hedge_after(
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
