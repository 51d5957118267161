use {
    base::{PipelineId, PoolId},
    sheet::FleetSheet,
    std::time::Duration,
};

/// One stage of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanStage {
    /// Pool whose targets run the stage.
    pub pool: PoolId,
    /// Kind of call that the targets are asked to run.
    pub call: String,
    /// Model that an engine should answer with; `None` for plain services.
    pub model: Option<String>,
    /// True if the targets are model engines.
    pub is_engine: bool,
    /// True if the stage may be called again after a target may have run it.
    pub is_repeatable: bool,
    /// Shortest time in which the stage can be expected to finish; zero until admission sets it.
    pub min_time: Duration,
}

/// The stages that a run goes through.
#[derive(Debug, Clone, PartialEq)]
pub struct RunPlan {
    /// Name of the pipeline.
    pub pipeline: PipelineId,
    /// Stages in the order in which they run.
    pub stages: Vec<PlanStage>,
}

impl RunPlan {
    /// Creates the plan of a pipeline; `None` if the sheet has no such pipeline.
    ///
    /// `idempotent` tells whether the request is idempotent; if it is not, none of its stages may
    /// be repeated.
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

    /// True if every stage may be repeated, so that the request needs no ticket.
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|stage| stage.is_repeatable)
    }

    /// Returns the shortest expected time of all stages from this position on.
    pub fn min_time_from(&self, position: usize) -> Duration {
        self.stages[position..]
            .iter()
            .map(|stage| stage.min_time)
            .sum()
    }
}
