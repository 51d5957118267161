use {
    base::{PipelineId, PoolId},
    sheet::FleetSheet,
    std::time::Duration,
};

/// One stage as a run sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanStage {
    /// Pool whose targets run the stage.
    pub pool: PoolId,
    /// Kind of call.
    pub call: String,
    /// Model that an engine should answer with.
    pub model: Option<String>,
    /// True if the targets are model engines.
    pub is_engine: bool,
    /// True if the stage may be sent again after a target may have run it.
    pub is_repeatable: bool,
    /// Least time in which the stage can be expected to finish.
    pub min_time: Duration,
}

/// What a run is to do.
#[derive(Debug, Clone, PartialEq)]
pub struct RunPlan {
    /// Name of the pipeline.
    pub pipeline: PipelineId,
    /// Stages in order.
    pub stages: Vec<PlanStage>,
}

impl RunPlan {
    /// Plan of a pipeline; a request that is not idempotent has no stage that may be repeated.
    /// `None` if the sheet has no such pipeline.
    pub fn new(sheet: &FleetSheet, pipeline: &str, idempotent: bool) -> Option<Self> {
        let row = sheet.pipelines.get(pipeline)?;
        let stages = row.stage.iter().map(|stage| PlanStage {
            pool: stage.pool.clone(),
            call: stage.call.clone(),
            model: stage.model.clone(),
            is_engine: sheet.is_engine_pool(&stage.pool),
            is_repeatable: idempotent && sheet.is_idempotent(&stage.pool, &stage.call),
            min_time: Duration::ZERO,
        });
        Some(Self {
            pipeline: row.name.clone(),
            stages: stages.collect(),
        })
    }

    /// True if every stage may be repeated, so that no ticket is needed.
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.is_repeatable)
    }

    /// Least time that the stages from this position on can take.
    pub fn min_time_from(&self, position: usize) -> Duration {
        self.stages[position..]
            .iter()
            .map(|stage| stage.min_time)
            .sum()
    }
}
