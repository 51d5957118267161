use {
    crate::{
        shared::{RelayCore, RelayPhase},
        state::{PassedTargets, StateView},
    },
    plan::{FleetPlan, PlanEvidence},
    route::{EngineGroups, TargetNotice},
    slog::{info, warn},
    std::time::Instant,
};

/// The configuration and targets in force, and what targets say of themselves.
impl RelayCore {
    /// Puts the configuration and targets that were read from the store in force.
    pub fn apply_state(&self, view: &StateView, now: Instant) {
        let was_applied = self.is_state_applied.replace(false);
        let previous = self.state.replace(view.clone());
        self.record_evidence(view.evidence);
        let Some(plan) = &view.plan else {
            self.is_state_applied.set(was_applied);
            return;
        };
        let previous_version = previous.plan.as_ref().map_or(0, |plan| plan.version);
        if plan.version > previous_version {
            self.metrics
                .plan_version
                .set(i64::try_from(plan.version).unwrap_or(i64::MAX));
            self.urgencies.replace(plan.urgencies());
            info!(self.log, "configuration in force";
                "version" => plan.version, "before" => previous_version);
        }
        if previous.targets != view.targets {
            self.log_target_changes(&previous, view);
            let mut history = self.version_history.borrow_mut();
            history.observe(view.targets.values(), now);
        }
        let evacuations_differ = previous.evacuations != view.evacuations;
        if evacuations_differ {
            self.log_evacuations(&previous, view);
        }
        self.log_cold_targets(&previous, view, now);
        let is_changed = plan.version > previous_version || previous.targets != view.targets;
        if is_changed || evacuations_differ || !was_applied {
            self.apply_targets(plan, view, now);
        }
        self.is_state_applied.set(true);
        if self.phase.get() == RelayPhase::Starting {
            self.phase.set(RelayPhase::Serving);
            info!(self.log, "serving"; "targets" => view.targets.len());
        }
    }

    /// Records the versions of targets that were listed and may be in no view.
    pub fn observe_passed_targets(&self, passed: &PassedTargets, view: &StateView, now: Instant) {
        let mut history = self.version_history.borrow_mut();
        if !passed.rows.is_empty() {
            let listed = view.targets.values();
            history.observe(listed.clone().chain(&passed.rows), now);
            history.observe(listed, now);
        }
        if passed.has_gap {
            history.interrupt(now);
        }
    }

    /// Puts newer evidence that the configuration and the list of targets are the latest ones in
    /// force.
    pub fn record_evidence(&self, evidence: PlanEvidence) {
        self.state.borrow_mut().evidence = evidence;
        self.evidence_changed.send_replace(evidence);
    }

    /// Returns the start time of the process that is listed under the target's id, in milliseconds
    /// since the Unix epoch; 0 if unknown.
    pub fn started_ms(&self, target: &str) -> u64 {
        let state = self.state.borrow();
        state.targets.get(target).map_or(0, |row| row.started_ms)
    }

    /// Returns true if the target is leaving, by the list of targets or by its own notice.
    pub fn is_leaving(&self, target: &str) -> bool {
        let state = self.state.borrow();
        let row = state.targets.get(target);
        let is_listed_leaving = row.is_some_and(|row| row.leaving) || state.is_evacuated(target);
        let notices = self.notices.borrow();
        let mut active = notices.active(Instant::now());
        is_listed_leaving || active.any(|(id, standing)| id == target && standing.leaving)
    }

    /// Returns true if the target may be called to check the links: it takes calls of this entry,
    /// names no limit, is not cold, and its data centre is not evacuated.
    pub fn may_check(&self, target: &str) -> bool {
        let state = self.state.borrow();
        let is_cold = state.cold_interval(target, Instant::now()).is_some();
        if is_cold || state.is_evacuated(target) {
            return false;
        }
        let notices = self.notices.borrow();
        let has_notice = notices.active(Instant::now()).any(|(id, _)| id == target);
        !has_notice && self.target_limit(target).is_none()
    }

    /// Removes targets that did not register again in time after an outage of the store.
    pub fn expire_targets(&self, now: Instant) {
        let expired = self.replica.borrow_mut().remove_expired(now);
        if expired {
            self.apply_state(self.replica.borrow().view(), now);
        }
    }

    /// Applies what a target said of itself in the head of an answer: that it is leaving, or that
    /// it wants no calls for a while. This holds for all calls of this entry to that process.
    pub fn record_notice(&self, target: &str, notice: TargetNotice, now: Instant) {
        if notice == TargetNotice::default() {
            return;
        }
        let started_ms = self.started_ms(target);
        let is_news = self
            .notices
            .borrow_mut()
            .record(target, started_ms, notice, now);
        if is_news {
            info!(self.log, "target gave notice"; "target" => target,
                "leaving" => notice.leaving,
                "pause_ms" => notice.pause.map(|pause| pause.as_millis() as u64));
            self.metrics.target_notices.inc();
        }
        self.apply_notices(now);
    }

    /// Tells the pools and schedulers which targets are leaving or want no calls for a while.
    fn apply_notices(&self, now: Instant) {
        let notices = self.notices.borrow();
        let mut pools = self.pools.borrow_mut();
        for (target, standing) in notices.active(now) {
            for pool in pools.values_mut() {
                pool.apply_notice(target, standing);
            }
            self.batch_service.apply_notice(target, standing);
        }
    }

    fn apply_targets(&self, plan: &FleetPlan, view: &StateView, now: Instant) {
        let targets = view.usable_targets();
        let mut pools = self.pools.borrow_mut();
        pools.retain(|service, _| plan.services.contains_key(service));
        let has_pieces = |pool: &str| {
            let spec = plan.services.get(pool);
            spec.is_some_and(|spec| spec.pieces.is_some())
        };
        self.batch_service.retain_pools(has_pieces, now);
        for (name, spec) in &plan.services {
            let rows = targets.iter().filter(|(_, row)| row.service == *name);
            match spec.pieces {
                Some(pieces) => {
                    let rows = rows.filter(|(_, row)| !row.leaving).collect();
                    self.batch_service.set_targets(name, pieces, rows, now);
                }
                None => {
                    if spec.engine.is_some() {
                        let groups = EngineGroups::new(name, rows.clone());
                        self.engine_groups.borrow_mut().insert(name.clone(), groups);
                    }
                    let pool = pools.entry(name.clone()).or_default();
                    pool.set_targets(spec, rows);
                }
            }
        }
        drop(pools);
        for (id, row) in &view.targets {
            self.notices.borrow_mut().retain_process(id, row.started_ms);
        }
        self.apply_notices(now);
    }

    fn log_evacuations(&self, previous: &StateView, view: &StateView) {
        let count_targets = |centre: &str| {
            let rows = view.targets.values();
            rows.filter(|row| row.data_centre == centre).count()
        };
        for centre in view.evacuations.centres() {
            if !previous.evacuations.contains(centre) {
                warn!(self.log, "data centre evacuated"; "data_centre" => centre,
                    "targets" => count_targets(centre));
            }
        }
        for centre in previous.evacuations.centres() {
            if !view.evacuations.contains(centre) {
                info!(self.log, "evacuation ended"; "data_centre" => centre,
                    "targets" => count_targets(centre));
            }
        }
        let count = view.evacuations.centres().count();
        self.metrics
            .evacuated_centres
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    fn log_cold_targets(&self, previous: &StateView, view: &StateView, now: Instant) {
        for (target, until) in &view.cold_until {
            if !previous.cold_until.contains_key(target) {
                let left = until.saturating_duration_since(now);
                info!(self.log, "target is cold"; "target" => target,
                    "left_ms" => left.as_millis() as u64);
            }
        }
    }

    fn log_target_changes(&self, previous: &StateView, view: &StateView) {
        for (id, row) in &view.targets {
            match previous.targets.get(id) {
                None => info!(self.log, "target listed"; "target" => id,
                    "service" => &row.service, "address" => %row.address,
                    "version" => &row.version),
                Some(previous_row) if previous_row.leaving != row.leaving => {
                    info!(self.log, "target changed"; "target" => id, "leaving" => row.leaving);
                }
                Some(_) => {}
            }
        }
        let gone_ids = previous
            .targets
            .keys()
            .filter(|id| !view.targets.contains_key(*id));
        for id in gone_ids {
            info!(self.log, "target gone"; "target" => id);
        }
    }
}
