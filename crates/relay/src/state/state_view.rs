use {
    plan::{ColdRate, EvacuationList, FleetPlan, PlanEvidence, ServiceId, TargetMap},
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
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
    /// Data centres to whose targets nothing more may be sent.
    pub evacuations: EvacuationList,
    /// Times until which targets are cold, by id.
    pub cold_until: BTreeMap<String, Instant>,
    /// What cold targets bear, by service.
    pub cold_rates: BTreeMap<ServiceId, ColdRate>,
}

impl StateView {
    /// Returns the targets as they are to be used: those in evacuated data centres get no new work,
    /// like those that are leaving.
    pub fn usable_targets(&self) -> TargetMap {
        let mut targets = self.targets.clone();
        for row in targets.values_mut() {
            row.leaving |= self.evacuations.contains(&row.data_centre);
        }
        targets
    }

    /// Returns true if the target is in an evacuated data centre.
    pub fn is_evacuated(&self, target: &str) -> bool {
        let row = self.targets.get(target);
        row.is_some_and(|row| self.evacuations.contains(&row.data_centre))
    }

    /// Returns the mean interval between calls of all entries to the target while it is cold; `None`
    /// if it is not, or if no rate is known.
    pub fn cold_interval(&self, target: &str, now: Instant) -> Option<Duration> {
        self.cold_until.get(target).filter(|until| **until > now)?;
        let service = &self.targets.get(target)?.service;
        self.cold_rates.get(service)?.call_interval()
    }
}
