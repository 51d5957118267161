use {
    crate::{
        dialect::{StoreChanges, StoreItem},
        state::{AnswerOrigin, ChangeLog, StoreReplica, read_phase::ReadPhase},
    },
    plan::{BootTime, FleetPlan, PlanVersion, StoreEra, StorePosition, TargetRow},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Targets that expired in the store during an outage are kept until this time after its end, so
/// that they can register again.
const RETURN_GRACE: Duration = Duration::from_millis(2_300);
/// Longest time for which a target is kept after the news that its item is gone, whatever has
/// happened to the store: one that has left serves for little longer.
const MAX_MISSING_TIME: Duration = Duration::from_millis(1_700);
/// Shortest silence of the store in which the item of a target can expire that goes on renewing it: an item
/// outlasts the loss of one renewal.
const MIN_LAPSE_SILENCE: Duration = Duration::from_millis(2_000);
/// Time after the store has come back from an older copy within which its answers are no evidence
/// that a configuration is the latest one, since the operator may not have written it again yet.
pub(super) const ERA_SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Longest time for which a target can be cold, whatever it says.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);

/// How answers change the replica's view of the store.
impl StoreReplica {
    /// Applies changes unless later ones are known already, since the answers to a check and a
    /// watch may arrive in either order.
    pub(super) fn apply_changes(
        &mut self,
        changes: StoreChanges,
        origin: AnswerOrigin,
        now: Instant,
    ) {
        if !self.accept_era(origin.era, now) || !self.is_watching() {
            return;
        }
        if changes.revision >= self.position.revision {
            let from = self.position;
            self.position.revision = changes.revision;
            self.change_log
                .record(from, self.position, changes.items.clone());
            for item in changes.items {
                if let StoreItem::Target(id, _) = &item {
                    self.held_targets.release(id);
                }
                self.apply_item(item, now);
            }
        }
        self.confirm(origin.called_at, now);
    }

    /// Returns true if an answer of this era may be applied: it is not older than the present one.
    /// With a later era everything is read again.
    pub(super) fn accept_era(&mut self, era: StoreEra, now: Instant) -> bool {
        if era > self.position.era {
            let is_first_read = self.position.revision == 0;
            self.position = StorePosition { era, revision: 0 };
            self.era_begun_at = Some(now);
            if is_first_read {
                // It may have begun a moment ago: nothing here is from before it.
                return true;
            }
            self.has_seen_era_begin = true;
            self.phase = ReadPhase::start();
            self.next_at = now;
            // Targets write their state again, as after an outage.
            self.store_returned_at = Some(now);
            self.held_targets.begin_era(&self.view.targets, now);
            self.view.evacuations.begin_era();
            self.change_log = ChangeLog::default();
        }
        era == self.position.era
    }

    /// Records that by an answer of the store the configuration in force was the latest one at the
    /// given time.
    pub(super) fn confirm(&mut self, confirmed_at: Option<BootTime>, now: Instant) {
        if self.awaits_peers {
            self.held_back = self.held_back.max(confirmed_at);
            return;
        }
        if !self.is_era_new(now) {
            self.renew_evidence(confirmed_at);
        }
    }

    /// Returns true if the store may have come back from an older copy so short a time ago that the
    /// operator has not written the latest configuration again.
    pub(super) fn is_era_new(&self, now: Instant) -> bool {
        let begun_at = self.era_begun_at;
        begun_at.is_some_and(|begun_at| now < begun_at + ERA_SETTLE_TIME)
    }

    /// Renews the evidence of the configuration in force unless a live peer has a later one.
    pub(super) fn renew_evidence(&mut self, confirmed_at: Option<BootTime>) {
        let is_latest = self.known_plan() >= self.latest_peer_plan;
        if let Some(confirmed_at) = confirmed_at.filter(|_| is_latest) {
            self.view.evidence.confirm(confirmed_at);
        }
    }

    /// Records that the store answered a call of this entry that was begun at this time. It has answered since
    /// then, or since the last call that failed: a watch is answered only when something changes.
    pub(super) fn record_contact(&mut self, begun_at: Instant) {
        let answered_at = self.last_fault_at.map_or(begun_at, |at| at.max(begun_at));
        self.record_sighting(answered_at);
        self.failed_call_count = 0;
        self.lacks_store = false;
    }

    /// Records that the store answered this entry or another one at about this time. If calls failed
    /// since it was last known to answer, and that is so long ago that targets could not renew their
    /// items, the store has returned from an outage; a lost call alone shows none.
    pub fn record_sighting(&mut self, answered_at: Instant) {
        let last_answer_at = self.last_answer_at.unwrap_or(self.started_at);
        let silence = answered_at.saturating_duration_since(last_answer_at);
        let has_failed = self.last_fault_at.is_some_and(|at| at > last_answer_at);
        if has_failed && silence >= MIN_LAPSE_SILENCE {
            self.store_returned_at = self.store_returned_at.max(Some(answered_at));
        }
        self.last_answer_at = Some(last_answer_at.max(answered_at));
    }

    /// Applies all items of the store; targets that are not among them are gone.
    pub(super) fn apply_full_read(
        &mut self,
        items: Vec<StoreItem>,
        origin: AnswerOrigin,
        now: Instant,
    ) {
        let mut listed = BTreeSet::new();
        let evacuated = items.iter().filter_map(|item| match item {
            StoreItem::Evacuated(centre) => Some(centre.clone()),
            _ => None,
        });
        self.view.evacuations.replace(evacuated);
        for item in items {
            match item {
                StoreItem::Target(id, row) => {
                    listed.insert(id.clone());
                    let row = self.held_targets.listed(&id, row);
                    self.apply_target(id, row);
                }
                item => self.apply_item(item, now),
            }
        }
        let known_ids = self.view.targets.keys();
        let gone: Vec<String> = known_ids
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.on_target_gone(id, now);
        }
        self.change_log = ChangeLog::default();
        self.passed_targets.has_gap = true;
        self.confirm(origin.called_at, now);
    }

    fn apply_item(&mut self, item: StoreItem, now: Instant) {
        match item {
            StoreItem::Plan(plan) => self.apply_plan(plan),
            StoreItem::Target(id, row) => self.apply_target(id, row),
            StoreItem::TargetGone(id) => self.on_target_gone(id, now),
            StoreItem::Unreadable(key, text) => self.unreadable.push((key, text)),
            StoreItem::Evacuated(centre) => self.view.evacuations.begin(centre),
            StoreItem::EvacuationEnded(centre) => self.view.evacuations.end(&centre),
            StoreItem::Cold(id, left) => self.apply_cold(id, left, now),
            StoreItem::ColdRates(version, rates) if version == self.known_plan() => {
                self.view.cold_rates = rates;
            }
            StoreItem::ColdRates(..) | StoreItem::Other => {}
        }
    }

    /// Records that a target is cold for this long from now on; one that is not listed is ignored.
    fn apply_cold(&mut self, id: String, left: Duration, now: Instant) {
        if self.view.targets.contains_key(&id) {
            self.view
                .cold_until
                .insert(id, now + left.min(MAX_COLD_TIME));
        }
    }

    fn apply_plan(&mut self, plan: Arc<FleetPlan>) {
        if plan.version > self.known_plan() {
            self.view.plan = Some(plan);
        }
    }

    /// Returns the version of the configuration in force, 0 if there is none.
    pub(super) fn known_plan(&self) -> PlanVersion {
        self.view.plan.as_ref().map_or(0, |plan| plan.version)
    }

    fn apply_target(&mut self, id: String, row: TargetRow) {
        self.missing_until.remove(&id);
        self.view.cold_until.remove(&id);
        let previous = self.view.targets.insert(id, row);
        self.passed_targets.rows.extend(previous);
    }

    /// Removes a target that is no longer listed, or keeps it for a time if an outage of the store
    /// has just ended, during which the target could not renew its item.
    fn on_target_gone(&mut self, id: String, now: Instant) {
        let grace_end = self
            .store_returned_at
            .map(|store_returned_at| store_returned_at + RETURN_GRACE);
        match grace_end.filter(|until| *until > now) {
            Some(until) if self.view.targets.contains_key(&id) => {
                let until = until.min(now + MAX_MISSING_TIME);
                self.missing_until.entry(id).or_insert(until);
            }
            _ => self.remove_target(&id, now),
        }
    }

    pub(super) fn remove_target(&mut self, id: &str, now: Instant) {
        self.view.cold_until.remove(id);
        if let Some(row) = self.view.targets.remove(id) {
            self.held_targets.record_departure(id, &row, now);
            self.passed_targets.rows.push(row);
        }
    }
}
