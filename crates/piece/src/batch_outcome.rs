use {
    crate::{
        BatchAction, BatchScheduler, CallId, JobId, PieceOutcome, StageResult,
        batch_target::BatchTarget,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Delay before freed results are reported to their target, so that one call reports several.
const FREE_DELAY: Duration = Duration::from_millis(15);
/// Average number of times that each piece of a job may be requeued before the job fails.
const MAX_REQUEUES_PER_PIECE: u32 = 12;
/// Like `MAX_REQUEUES_PER_PIECE`, but counts only the requeues that were not due to a lack of room.
const MAX_FAILURES_PER_PIECE: u32 = 3;

/// What becomes of calls, pieces and their results.
impl BatchScheduler {
    /// Queues results that are no longer needed, so that their targets are soon told to free them.
    /// Ignores results of unknown targets.
    pub fn free_results(&mut self, results: impl IntoIterator<Item = StageResult>, now: Instant) {
        for result in results {
            if self.targets.contains_key(&result.maker) {
                let freed = self.freed_results.entry(result.maker).or_default();
                freed.push(result.name);
                self.flush_at.get_or_insert(now + FREE_DELAY);
            }
        }
    }

    /// Records that a target has freed results, so that their room can be used again.
    pub fn confirm_freed(&mut self, target: &str, results: &[String]) {
        if let Some(maker) = self.targets.get_mut(target) {
            for result in results {
                maker.remove_result(result);
            }
        }
    }

    /// Records the outcome of each piece of a call that was answered, in the order in which the
    /// pieces were sent.
    pub fn finish_call(&mut self, call: CallId, outcomes: Vec<PieceOutcome>, now: Instant) {
        let Some(running) = self.calls.remove(&call) else {
            return;
        };
        let elapsed = now.saturating_duration_since(running.started_at);
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.finish_call(running.bytes, elapsed, running.expected_time);
        }
        for ((job, piece, bytes), outcome) in running.pieces.into_iter().zip(outcomes) {
            self.finish_piece(&running.target, (job, piece, bytes), outcome, now);
        }
    }

    /// Records that a call failed as a whole and requeues its pieces.
    ///
    /// If the target refused the call, it ran none of the pieces, and they are treated as if they
    /// had found no room.
    pub fn fail_call(&mut self, call: CallId, is_refused: bool, now: Instant) {
        let Some(running) = self.calls.remove(&call) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.fail_call(running.bytes, now);
        }
        for (job, piece, _) in running.pieces {
            let outcome = match is_refused {
                true => PieceOutcome::NoRoom,
                false => PieceOutcome::Failed,
            };
            self.requeue_piece(job, piece, outcome);
        }
    }

    fn finish_piece(
        &mut self,
        target: &str,
        (job, piece, bytes): (JobId, u16, u64),
        outcome: PieceOutcome,
        now: Instant,
    ) {
        let expires_at = now + self.spec.keep_time;
        match outcome {
            PieceOutcome::Made(name) => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.add_result(&name, bytes, expires_at);
                }
                let maker = target.to_string();
                let result = StageResult { maker, name };
                self.add_result(job, piece, result, now);
            }
            PieceOutcome::NoRoom => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.cap_room(bytes, now);
                }
                self.requeue_piece(job, piece, PieceOutcome::NoRoom);
            }
            PieceOutcome::Failed => self.requeue_piece(job, piece, PieceOutcome::Failed),
            PieceOutcome::Late | PieceOutcome::InputGone | PieceOutcome::Moved => {
                if self.jobs.contains_key(&job) {
                    self.fail_job(job, outcome, now);
                }
            }
        }
    }

    /// Stores the result of a piece, and completes the job if it was the last missing result.
    fn add_result(&mut self, job: JobId, piece: u16, result: StageResult, now: Instant) {
        let Some(pending) = self.jobs.get_mut(&job) else {
            self.free_results([result], now);
            return;
        };
        pending.results[usize::from(piece)] = Some(result);
        if pending.results.iter().any(Option::is_none) {
            return;
        }
        if let Some(pending) = self.jobs.remove(&job) {
            let results = pending.results.into_iter().flatten().collect();
            self.actions.push(BatchAction::Made { job, results });
        }
    }

    /// Puts a piece back at the head of its job's queue, or fails the job if that happened too
    /// often.
    fn requeue_piece(&mut self, job: JobId, piece: u16, outcome: PieceOutcome) {
        let Some(pending) = self.jobs.get_mut(&job) else {
            return;
        };
        pending.requeues += 1;
        pending.failures += u32::from(outcome == PieceOutcome::Failed);
        let pieces = u32::from(pending.job.pieces);
        if pending.requeues > MAX_REQUEUES_PER_PIECE * pieces
            || pending.failures > MAX_FAILURES_PER_PIECE * pieces
        {
            self.jobs.remove(&job);
            self.actions.push(BatchAction::Failed { job, outcome });
            return;
        }
        pending.waiting.push_front(piece);
        pending.inputs_read_at = None;
    }

    /// Tells the targets of freed results, except those that want no calls for a while.
    pub(super) fn flush_freed_results(&mut self, now: Instant) {
        let mut kept_results = BTreeMap::new();
        self.flush_at = None;
        for (target, results) in std::mem::take(&mut self.freed_results) {
            let paused_until = self
                .targets
                .get(&target)
                .and_then(BatchTarget::paused_until);
            match paused_until.filter(|until| *until > now) {
                Some(until) => {
                    self.flush_at = Some(self.flush_at.map_or(until, |at| at.min(until)));
                    kept_results.insert(target, results);
                }
                None => self.actions.push(BatchAction::Free { target, results }),
            }
        }
        self.freed_results = kept_results;
    }
}
