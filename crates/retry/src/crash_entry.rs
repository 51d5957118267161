use {
    crate::{TargetStrikes, TrackedCall, crash_record::short_hash},
    base::StageIndex,
    std::time::Instant,
};

/// Maximum number of victims of one request. A request is refused long before it crashes so many
/// targets, but entries of the fleet that cannot reach each other may each add some.
const MAX_VICTIMS: usize = 8;

/// Strikes of one request and their expiry. A victim is a target that died while it ran the
/// request.
#[derive(Debug, Clone)]
pub(crate) struct CrashEntry {
    /// Strikes by victim and stage.
    pub victims: Vec<TargetStrikes>,
    /// Time at which the strikes expire.
    pub expires_at: Instant,
    /// Time until which no new call of the request may start; `None` if it was never held.
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

    /// Returns the number of strikes that no completed run has cleared.
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

    /// Merges the strikes that a peer reported; the larger of each count wins.
    pub fn merge(&mut self, reported: &[TargetStrikes]) {
        for report in reported.iter().take(MAX_VICTIMS) {
            if let Some(victim) = self.victim_mut(report.target, report.stage) {
                victim.strikes = victim.strikes.max(report.strikes);
                victim.cleared = victim.cleared.max(report.cleared);
            }
        }
    }

    /// Returns the strikes of the target and stage, added without strikes if they are missing;
    /// `None` if they are missing and the entry is full.
    fn victim_mut(&mut self, target: u64, stage: StageIndex) -> Option<&mut TargetStrikes> {
        let is_same = |victim: &TargetStrikes| victim.target == target && victim.stage == stage;
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
