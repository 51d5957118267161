use {
    crate::{
        BatchAction, CallId, JobId, PieceOutcome, PieceWork, StageJob, StageResult,
        batch_target::BatchTarget,
        pending_job::{BatchCall, PendingJob},
    },
    plan::{PieceSpec, TargetRow},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time for which freed results wait for others before the target is told.
const FREE_DELAY: Duration = Duration::from_millis(15);
/// Time after its start by which a call has fetched what its pieces are made from.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Part of a target's room that is used, since sizes are only roughly known.
const ROOM_SHARE: f64 = 0.95;
/// Times that one piece may be asked for again after a failure.
const MAX_PIECE_REQUEUES: u32 = 12;
/// Failures of a target, not for want of room, that one order survives.
const MAX_PIECE_FAILURES: u32 = 3;

/// Gathers pieces of many requests into calls to the targets of one pool.
///
/// The entry that owns the pool alone sends calls, so that it knows how busy each target is and
/// how much room for results is left there. Pieces whose aim can still be met go first, oldest
/// aim first; pieces that can no longer be of use are given up at once.
///
/// It does no I/O: orders and ends of calls go in, steps come out.
#[derive(Debug)]
pub struct BatchScheduler {
    pub(super) spec: PieceSpec,
    pub(super) targets: BTreeMap<String, BatchTarget>,
    pub(super) jobs: BTreeMap<JobId, PendingJob>,
    calls: BTreeMap<CallId, BatchCall>,
    actions: Vec<BatchAction>,
    freed_results: BTreeMap<String, Vec<String>>,
    flush_at: Option<Instant>,
    is_shared: bool,
    last_id: u64,
}

impl BatchScheduler {
    /// Desk of a pool without targets.
    pub fn new(spec: PieceSpec) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            actions: Vec::new(),
            freed_results: BTreeMap::new(),
            flush_at: None,
            is_shared: false,
            last_id: 0,
        }
    }

    /// What the pool's targets can do.
    pub fn spec(&self) -> PieceSpec {
        self.spec
    }

    /// Takes over the targets that may get calls, by their ids.
    pub fn set_targets<'a>(
        &mut self,
        rows: impl IntoIterator<Item = (&'a String, &'a TargetRow)>,
        spec: PieceSpec,
        now: Instant,
    ) {
        self.spec = spec;
        let mut before = std::mem::take(&mut self.targets);
        for (id, row) in rows {
            let target = before.remove(id);
            let target = target.unwrap_or_else(|| BatchTarget::new(&row.data_centre, now));
            self.targets.insert(id.clone(), target);
        }
    }

    /// Says whether another entry may still call the same targets. A call may then wait there, so
    /// that its inputs count as read only when it ends.
    pub fn set_shared(&mut self, shared: bool) {
        self.is_shared = shared;
    }

    /// Gives back orders that were not begun, since another entry gathers for the pool now.
    pub fn return_unstarted(&mut self, now: Instant) {
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, pending)| !pending.is_started());
        let jobs: Vec<JobId> = jobs.map(|(number, _)| *number).collect();
        for job in jobs {
            self.fail_job(job, PieceOutcome::Moved, now);
        }
    }

    /// Takes an order.
    pub fn submit(&mut self, job: StageJob, now: Instant) -> JobId {
        let number = self.next_id();
        let pending = PendingJob::new(job, now);
        self.jobs.insert(number, pending);
        number
    }

    /// Forgets an order that nobody waits for any more, and frees what was made for it.
    pub fn cancel(&mut self, job: JobId, now: Instant) {
        if let Some(pending) = self.jobs.remove(&job) {
            let made: Vec<_> = pending.results.into_iter().flatten().collect();
            self.free_results(made, now);
        }
    }

    /// Records that results are no longer needed.
    pub fn free_results(&mut self, results: impl IntoIterator<Item = StageResult>, now: Instant) {
        for result in results {
            if self.targets.contains_key(&result.maker) {
                let freed = self.freed_results.entry(result.maker).or_default();
                freed.push(result.name);
                self.flush_at.get_or_insert(now + FREE_DELAY);
            }
        }
    }

    /// Records that a target was told that results are no longer needed.
    pub fn confirm_freed(&mut self, target: &str, results: &[String]) {
        if let Some(maker) = self.targets.get_mut(target) {
            for result in results {
                maker.remove_result(result);
            }
        }
    }

    /// Records how the pieces of a call ended, in the order in which they were sent.
    pub fn finish_call(&mut self, call: CallId, outcomes: Vec<PieceOutcome>, now: Instant) {
        let Some(running) = self.calls.remove(&call) else {
            return;
        };
        let spent = now.saturating_duration_since(running.started_at);
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.finish_call(running.bytes, spent, running.expected_time);
        }
        for ((job, piece, bytes), outcome) in running.pieces.into_iter().zip(outcomes) {
            self.finish_piece(&running.target, (job, piece, bytes), outcome, now);
        }
    }

    /// Records that a call failed as a whole; its pieces wait again.
    pub fn fail_call(&mut self, call: CallId, refused: bool, now: Instant) {
        let Some(running) = self.calls.remove(&call) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.fail_call(running.bytes, now);
        }
        for (job, piece, _) in running.pieces {
            let outcome = match refused {
                true => PieceOutcome::NoRoom,
                false => PieceOutcome::Failed,
            };
            self.requeue_piece(job, piece, outcome);
        }
    }

    /// What is to be done now.
    pub fn take_actions(&mut self, now: Instant) -> Vec<BatchAction> {
        self.drop_hopeless_jobs(now);
        while self.start_next_call(now) {}
        self.report_inputs_read(now);
        if self.flush_at.is_some_and(|at| at <= now) {
            self.flush_freed();
        }
        std::mem::take(&mut self.actions)
    }

    /// Time at which there may be something to do without anything else happening.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let paused = self.targets.values().filter_map(BatchTarget::backoff_until);
        let capped = self
            .targets
            .values()
            .filter_map(BatchTarget::room_cap_until);
        let paused = paused.chain(capped).filter(|until| *until > now);
        let due = self.jobs.values().map(|pending| pending.due_at);
        let any_waiting = self
            .jobs
            .values()
            .any(|pending| !pending.waiting.is_empty());
        let pauses = paused.filter(|_| any_waiting);
        let urgent = self.call_time(self.spec.batch) + self.call_time(1);
        let held = self
            .jobs
            .values()
            .filter(|pending| !pending.waiting.is_empty() && pending.job.data_centre.is_some());
        let held = held.filter_map(|pending| pending.aim_at.checked_sub(urgent));
        let held = held.filter(|at| *at > now);
        let unread = self
            .jobs
            .values()
            .filter(|pending| !pending.is_read_reported);
        let reads = unread.filter_map(|pending| pending.inputs_read_at);
        pauses
            .chain(due)
            .chain(held)
            .chain(reads)
            .chain(self.flush_at)
            .min()
    }

    /// Pieces that wait for a call.
    pub fn waiting_pieces(&self) -> usize {
        self.jobs
            .values()
            .map(|pending| pending.waiting.len())
            .sum()
    }

    /// Bytes that further results may take at a target.
    pub fn room(&mut self, target: &str, now: Instant) -> u64 {
        let spec = self.spec;
        let target = self.targets.get_mut(target);
        target.map_or(0, |target| target.room(&spec, now))
    }

    pub(super) fn call_time(&self, pieces: usize) -> Duration {
        let items = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.spec.call_time + self.spec.item_time * items
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn report_inputs_read(&mut self, now: Instant) {
        for (job, pending) in &mut self.jobs {
            let read = pending.inputs_read_at.is_some_and(|at| at <= now);
            if read && !pending.is_read_reported {
                pending.is_read_reported = true;
                self.actions.push(BatchAction::InputsRead { job: *job });
            }
        }
    }

    pub(super) fn fail_job(&mut self, job: JobId, outcome: PieceOutcome, now: Instant) {
        self.cancel(job, now);
        self.actions.push(BatchAction::Failed { job, outcome });
    }

    fn start_next_call(&mut self, now: Instant) -> bool {
        let spec = self.spec;
        let targets = self.targets.iter_mut().filter_map(|(id, target)| {
            let room = (target.room(&spec, now) as f64 * ROOM_SHARE) as u64;
            target
                .can_start_call(&spec, now)
                .then(|| (id.clone(), room, target.slowness))
        });
        let mut targets: Vec<_> = targets.collect();
        targets.sort_by(|a, b| a.2.total_cmp(&b.2).then(b.1.cmp(&a.1)));
        if self.waiting_pieces() == 0 {
            return false;
        }
        let available = self.available_centres(now);
        for (id, room, _) in targets {
            let centre = &self.targets[&id].data_centre;
            let queue = self.job_queue(centre, &available, now);
            let pieces = self.fill_batch(&queue, room);
            if !pieces.is_empty() {
                self.start_call(id, pieces, now);
                return true;
            }
        }
        false
    }

    fn start_call(&mut self, id: String, pieces: Vec<(JobId, u16, u64)>, now: Instant) {
        let expected_time = self.call_time(pieces.len());
        let bytes = pieces.iter().map(|(_, _, bytes)| bytes).sum();
        if let Some(target) = self.targets.get_mut(&id) {
            target.start_call(bytes, expected_time, now);
        }
        let call = self.next_id();
        let work = pieces
            .iter()
            .map(|(job, piece, _)| self.piece_work(*job, *piece, now));
        let work: Vec<_> = work.collect();
        for (job, piece, _) in &pieces {
            if let Some(pending) = self.jobs.get_mut(job) {
                pending.waiting.retain(|waiting| waiting != piece);
                let alone = pending.waiting.is_empty() && !self.is_shared;
                let inputs_read_at = alone.then_some(now + FETCH_TIME);
                pending.inputs_read_at = inputs_read_at;
            }
        }
        let running = BatchCall {
            target: id.clone(),
            started_at: now,
            expected_time,
            bytes,
            pieces,
        };
        self.calls.insert(call, running);
        self.actions.push(BatchAction::Call {
            call,
            target: id,
            work,
        });
    }

    fn piece_work(&self, job: JobId, piece: u16, now: Instant) -> PieceWork {
        let pending = &self.jobs[&job];
        PieceWork {
            job,
            request: pending.job.request.clone(),
            stage: pending.job.stage,
            piece,
            time_left: pending.due_at.saturating_duration_since(now),
            input: pending.job.input.clone(),
        }
    }

    fn finish_piece(
        &mut self,
        target: &str,
        (job, piece, bytes): (JobId, u16, u64),
        outcome: PieceOutcome,
        now: Instant,
    ) {
        let until = now + self.spec.keep_time;
        match outcome {
            PieceOutcome::Made(name) => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.add_result(&name, bytes, until);
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

    fn requeue_piece(&mut self, job: JobId, piece: u16, outcome: PieceOutcome) {
        let Some(pending) = self.jobs.get_mut(&job) else {
            return;
        };
        pending.requeues += 1;
        pending.failures += u32::from(outcome == PieceOutcome::Failed);
        let pieces = u32::from(pending.job.pieces);
        if pending.requeues > MAX_PIECE_REQUEUES * pieces
            || pending.failures > MAX_PIECE_FAILURES * pieces
        {
            self.jobs.remove(&job);
            self.actions.push(BatchAction::Failed { job, outcome });
            return;
        }
        pending.waiting.push_front(piece);
        pending.inputs_read_at = None;
    }

    fn flush_freed(&mut self) {
        self.flush_at = None;
        for (target, results) in std::mem::take(&mut self.freed_results) {
            self.actions.push(BatchAction::Free { target, results });
        }
    }
}
