use {
    crate::{TargetStrikes, TrackedCall, crash_record::short_hash},
    base::StageIndex,
    std::time::Instant,
};

/// Targets that one entry names. A request is refused long before it has so many, but peers that
/// do not hear of each other may each add some.
const MOST_VICTIMS: usize = 8;

/// What is known of one request's crashes.
#[derive(Debug, Clone)]
pub(crate) struct CrashEntry {
    pub victims: Vec<TargetStrikes>,
    pub until: Instant,
    /// Until when no new call of the request may leave.
    pub held_until: Option<Instant>,
}

impl CrashEntry {
    pub fn new(until: Instant) -> Self {
        Self {
            victims: Vec::new(),
            until,
            held_until: None,
        }
    }

    /// Strikes that no whole run has cleared.
    pub fn strikes(&self) -> u32 {
        let open = |victim: &TargetStrikes| victim.strikes.saturating_sub(victim.cleared);
        self.victims.iter().map(open).sum()
    }

    /// Holds the request; a longer hold wins.
    pub fn hold(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    pub fn strike(&mut self, call: TrackedCall<'_>) {
        if let Some(victim) = self.victim(short_hash(call.target), call.stage) {
            victim.strikes += 1;
        }
    }

    /// Clears the strikes of a stage that has run to its end.
    pub fn clear(&mut self, stage: StageIndex) {
        let same_stage = |victim: &&mut TargetStrikes| victim.stage == stage;
        for victim in self.victims.iter_mut().filter(same_stage) {
            victim.cleared = victim.strikes;
        }
    }

    /// Takes in a peer's rows; the larger of each count wins.
    pub fn merge(&mut self, rows: &[TargetStrikes]) {
        for row in rows.iter().take(MOST_VICTIMS) {
            if let Some(victim) = self.victim(row.target, row.stage) {
                victim.strikes = victim.strikes.max(row.strikes);
                victim.cleared = victim.cleared.max(row.cleared);
            }
        }
    }

    /// Row of the target, a new one if there is room.
    fn victim(&mut self, target: u64, stage: StageIndex) -> Option<&mut TargetStrikes> {
        let known = |row: &TargetStrikes| row.target == target && row.stage == stage;
        if let Some(place) = self.victims.iter().position(known) {
            return self.victims.get_mut(place);
        }
        if self.victims.len() >= MOST_VICTIMS {
            return None;
        }
        self.victims.push(TargetStrikes {
            target,
            stage,
            strikes: 0,
            cleared: 0,
        });
        self.victims.last_mut()
    }
}
