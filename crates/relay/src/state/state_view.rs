use {
    plan::{FleetPlan, PlanEvidence, TargetMap},
    std::sync::Arc,
};

/// The contents of the store as far as this entry knows them.
#[derive(Debug, Clone, Default)]
pub struct StateView {
    /// Configuration in force; `None` until one was read.
    pub plan: Option<Arc<FleetPlan>>,
    /// Targets that may be used.
    pub targets: TargetMap,
    /// Evidence that the configuration is the latest one.
    pub evidence: PlanEvidence,
}
