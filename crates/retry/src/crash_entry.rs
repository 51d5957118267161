use {
    crate::{TargetStrikes, TrackedCall, crash_record::short_hash},
    base::StageIndex,
    std::time::Instant,
};

/// Targets that one crash entry lists at most. A request is refused long before it crashes so many,
/// but entries that cannot reach each other may each add some.
const MAX_VICTIMS: usize = 8;

/// Crashes of one request and how long they count.
#[derive(Debug, Clone)]
pub(crate) struct CrashEntry {
    /// Targets that died while they ran the request, with their strikes.
    pub victims: Vec<TargetStrikes>,
    /// When the strikes expire.
    pub expires_at: Instant,
    /// Until when no new call of the request may start.
    pub held_until: Option<Instant>,
}

impl CrashEntry {
    pub fn new(expires_at: Instant) -> Self {
        Self {
            victims: Vec::new(),
            expires_at,
            held_until: None,
        }
    }

    /// Counts the strikes that no completed run has cleared.
    pub fn open_strikes(&self) -> u32 {
        let open_strikes = |victim: &TargetStrikes| victim.strikes.saturating_sub(victim.cleared);
        self.victims.iter().map(open_strikes).sum()
    }

    /// Holds the request until the given time, or longer if it is already held for longer.
    pub fn hold(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    /// Adds a strike for the call's target and stage.
    pub fn add_strike(&mut self, call: TrackedCall<'_>) {
        if let Some(victim) = self.victim_mut(short_hash(call.target), call.stage) {
            victim.strikes += 1;
        }
    }

    /// Clears the strikes of a stage that has completed.
    pub fn clear_stage(&mut self, stage: StageIndex) {
        let same_stage = |victim: &&mut TargetStrikes| victim.stage == stage;
        for victim in self.victims.iter_mut().filter(same_stage) {
            victim.cleared = victim.strikes;
        }
    }

    /// Merges a peer's rows; the larger of each count wins.
    pub fn merge(&mut self, rows: &[TargetStrikes]) {
        for row in rows.iter().take(MAX_VICTIMS) {
            if let Some(victim) = self.victim_mut(row.target, row.stage) {
                victim.strikes = victim.strikes.max(row.strikes);
                victim.cleared = victim.cleared.max(row.cleared);
            }
        }
    }

    /// Returns the row of the target and stage, adding it if there is room.
    fn victim_mut(&mut self, target: u64, stage: StageIndex) -> Option<&mut TargetStrikes> {
        let is_same = |row: &TargetStrikes| row.target == target && row.stage == stage;
        if let Some(index) = self.victims.iter().position(is_same) {
            return self.victims.get_mut(index);
        }
        if self.victims.len() >= MAX_VICTIMS {
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
