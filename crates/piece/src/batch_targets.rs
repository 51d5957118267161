use {
    crate::{BatchScheduler, MachinePace, batch_target::BatchTarget},
    plan::{PieceSpec, TargetRow},
    std::time::Instant,
};

/// The targets of a shard: which there are, and which take calls.
impl BatchScheduler {
    /// Replaces the targets that may be called, given by id. Targets that were known before keep
    /// their state.
    pub fn set_targets<'a>(
        &mut self,
        rows: impl IntoIterator<Item = (&'a String, &'a TargetRow)>,
        spec: PieceSpec,
        now: Instant,
    ) {
        self.spec = spec;
        let mut previous = std::mem::take(&mut self.targets);
        for (id, row) in rows {
            let target = previous.remove(id);
            let target = target.filter(|target| target.started_ms == row.started_ms);
            let target = target.unwrap_or_else(|| BatchTarget::new(row, now));
            self.targets.insert(id.clone(), target);
        }
    }

    /// Applies what a target said of itself: that it is leaving, and until when it wants no calls.
    /// Ignores unknown targets.
    pub fn apply_notice(&mut self, target: &str, leaving: bool, paused_until: Option<Instant>) {
        if let Some(target) = self.targets.get_mut(target) {
            target.apply_notice(leaving, paused_until);
        }
    }

    /// Records what a target said of its machine; ignores targets of other shards.
    pub fn set_pace(&mut self, target: &str, pace: MachinePace) {
        if let Some(target) = self.targets.get_mut(target) {
            target.set_pace(pace);
        }
    }

    /// Sends a target nothing until this time, or as usual again if there is none; ignores targets
    /// of other shards.
    pub fn hold_target(&mut self, target: &str, until: Option<Instant>) {
        if let Some(target) = self.targets.get_mut(target) {
            target.held_until = until;
        }
    }
}
