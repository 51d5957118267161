use {
    plan::{TargetMap, TargetRow},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time for which a target that left the list is remembered, so that an older copy of the store
/// does not bring it back. It covers the seconds by which a copy may be old.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(30);
/// Time after the store has come back from an older copy within which what it lists may be older
/// than what was known before. Until then its targets have written their state again.
const STALE_LIST_TIME: Duration = Duration::from_secs(10);

/// Targets that must get no new work, whatever an older copy of the store says of them: those that
/// were leaving or gone before the store lost its latest changes.
///
/// It does no I/O. A target counts as the same process while its start time is the same.
#[derive(Debug, Default)]
pub struct HeldTargets {
    /// Start time and time of departure of the targets that left the list lately, by id.
    departed: BTreeMap<String, (u64, Instant)>,
    /// Start times of the targets that were leaving or gone when the present era began, by id.
    held: BTreeMap<String, u64>,
    /// Time until which `held` applies; `None` if the store never lost changes.
    held_until: Option<Instant>,
}

impl HeldTargets {
    /// Records that a target left the list.
    pub fn record_departure(&mut self, id: &str, row: &TargetRow, now: Instant) {
        self.departed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < DEPARTURE_MEMORY);
        self.departed.insert(id.to_string(), (row.started_ms, now));
    }

    /// Records that the store has lost its latest changes. `known` are the targets as known until
    /// then.
    pub fn begin_era(&mut self, known: &TargetMap, now: Instant) {
        let leaving = known.iter().filter(|(_, row)| row.leaving);
        let leaving = leaving.map(|(id, row)| (id.clone(), row.started_ms));
        let departed = self
            .departed
            .iter()
            .filter(|(_, (_, at))| now.saturating_duration_since(*at) < DEPARTURE_MEMORY);
        let departed = departed.map(|(id, (started, _))| (id.clone(), *started));
        self.held.extend(leaving.chain(departed));
        self.held_until = Some(now + STALE_LIST_TIME);
    }

    /// Returns true once, when the store can be trusted again. Its list must then be read again,
    /// since targets may have been held that are in use after all.
    pub fn take_expiry(&mut self, now: Instant) -> bool {
        let is_over = self.held_until.is_some_and(|until| until <= now);
        if is_over {
            *self = Self::default();
        }
        is_over
    }

    /// Returns the row of a target as it is to be used, given how a read of the whole store lists
    /// it: one that was leaving or gone before the era began stays out of use.
    pub fn listed(&self, id: &str, row: TargetRow) -> TargetRow {
        let is_held = self.held.get(id) == Some(&row.started_ms);
        TargetRow {
            leaving: row.leaving || is_held,
            ..row
        }
    }

    /// Records that the target wrote its state in the present era, which then binds.
    pub fn release(&mut self, id: &str) {
        self.held.remove(id);
        self.departed.remove(id);
    }
}
