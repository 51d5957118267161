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
const PIECE_TRIES: u32 = 12;
/// Failures of a target, not for want of room, that one order survives.
const FAILED_TRIES: u32 = 3;

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
    steps: Vec<BatchAction>,
    freed: BTreeMap<String, Vec<String>>,
    free_at: Option<Instant>,
    shared: bool,
    next_number: u64,
}

impl BatchScheduler {
    /// Desk of a pool without targets.
    pub fn new(spec: PieceSpec) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            steps: Vec::new(),
            freed: BTreeMap::new(),
            free_at: None,
            shared: false,
            next_number: 0,
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
        self.shared = shared;
    }

    /// Gives back orders that were not begun, since another entry gathers for the pool now.
    pub fn hand_over(&mut self, now: Instant) {
        let jobs = self.jobs.iter().filter(|(_, pending)| !pending.is_begun());
        let jobs: Vec<JobId> = jobs.map(|(number, _)| *number).collect();
        for job in jobs {
            self.end_job(job, PieceOutcome::Moved, now);
        }
    }

    /// Takes an order.
    pub fn submit(&mut self, job: StageJob, now: Instant) -> JobId {
        let number = self.number();
        let pending = PendingJob::new(job, now);
        self.jobs.insert(number, pending);
        number
    }

    /// Forgets an order that nobody waits for any more, and frees what was made for it.
    pub fn cancel(&mut self, job: JobId, now: Instant) {
        if let Some(pending) = self.jobs.remove(&job) {
            let made: Vec<_> = pending.made.into_iter().flatten().collect();
            self.free(made, now);
        }
    }

    /// Records that results are no longer needed.
    pub fn free(&mut self, results: impl IntoIterator<Item = StageResult>, now: Instant) {
        for result in results {
            if self.targets.contains_key(&result.maker) {
                let freed = self.freed.entry(result.maker).or_default();
                freed.push(result.name);
                self.free_at.get_or_insert(now + FREE_DELAY);
            }
        }
    }

    /// Records that a target was told that results are no longer needed.
    pub fn released(&mut self, target: &str, results: &[String]) {
        if let Some(maker) = self.targets.get_mut(target) {
            for result in results {
                maker.release(result);
            }
        }
    }

    /// Records how the pieces of a call ended, in the order in which they were sent.
    pub fn finish(&mut self, call: CallId, outcomes: Vec<PieceOutcome>, now: Instant) {
        let Some(running) = self.calls.remove(&call) else {
            return;
        };
        let spent = now.saturating_duration_since(running.started);
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.finish(running.bytes, spent, running.expected);
        }
        for ((job, piece, bytes), outcome) in running.pieces.into_iter().zip(outcomes) {
            self.finish_piece(&running.target, (job, piece, bytes), outcome, now);
        }
    }

    /// Records that a call failed as a whole; its pieces wait again.
    pub fn fail(&mut self, call: CallId, refused: bool, now: Instant) {
        let Some(running) = self.calls.remove(&call) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.fail(running.bytes, now);
        }
        for (job, piece, _) in running.pieces {
            let outcome = match refused {
                true => PieceOutcome::NoRoom,
                false => PieceOutcome::Failed,
            };
            self.put_back(job, piece, outcome);
        }
    }

    /// What is to be done now.
    pub fn steps(&mut self, now: Instant) -> Vec<BatchAction> {
        self.give_up_hopeless(now);
        while self.start_call(now) {}
        self.tell_read(now);
        if self.free_at.is_some_and(|at| at <= now) {
            self.flush_freed();
        }
        std::mem::take(&mut self.steps)
    }

    /// Time at which there may be something to do without anything else happening.
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let paused = self.targets.values().filter_map(BatchTarget::paused_until);
        let capped = self.targets.values().filter_map(BatchTarget::capped_until);
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
        let unread = self.jobs.values().filter(|pending| !pending.read_told);
        let reads = unread.filter_map(|pending| pending.read_at);
        pauses
            .chain(due)
            .chain(held)
            .chain(reads)
            .chain(self.free_at)
            .min()
    }

    /// Pieces that wait for a call.
    pub fn waiting(&self) -> usize {
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

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn tell_read(&mut self, now: Instant) {
        for (job, pending) in &mut self.jobs {
            let read = pending.read_at.is_some_and(|at| at <= now);
            if read && !pending.read_told {
                pending.read_told = true;
                self.steps.push(BatchAction::InputsRead { job: *job });
            }
        }
    }

    pub(super) fn end_job(&mut self, job: JobId, outcome: PieceOutcome, now: Instant) {
        self.cancel(job, now);
        self.steps.push(BatchAction::Failed { job, outcome });
    }

    fn start_call(&mut self, now: Instant) -> bool {
        let spec = self.spec;
        let targets = self.targets.iter_mut().filter_map(|(id, target)| {
            let room = (target.room(&spec, now) as f64 * ROOM_SHARE) as u64;
            target
                .is_open(&spec, now)
                .then(|| (id.clone(), room, target.slowness))
        });
        let mut targets: Vec<_> = targets.collect();
        targets.sort_by(|a, b| a.2.total_cmp(&b.2).then(b.1.cmp(&a.1)));
        if self.waiting() == 0 {
            return false;
        }
        let staffed = self.staffed_centres(now);
        for (id, room, _) in targets {
            let centre = &self.targets[&id].data_centre;
            let queue = self.queue(centre, &staffed, now);
            let pieces = self.fill(&queue, room);
            if !pieces.is_empty() {
                self.begin(id, pieces, now);
                return true;
            }
        }
        false
    }

    fn begin(&mut self, id: String, pieces: Vec<(JobId, u16, u64)>, now: Instant) {
        let expected = self.call_time(pieces.len());
        let bytes = pieces.iter().map(|(_, _, bytes)| bytes).sum();
        if let Some(target) = self.targets.get_mut(&id) {
            target.start(bytes, expected, now);
        }
        let call = self.number();
        let work = pieces
            .iter()
            .map(|(job, piece, _)| self.take_work(*job, *piece, now));
        let work: Vec<_> = work.collect();
        for (job, piece, _) in &pieces {
            if let Some(pending) = self.jobs.get_mut(job) {
                pending.waiting.retain(|waiting| waiting != piece);
                let alone = pending.waiting.is_empty() && !self.shared;
                let read_at = alone.then_some(now + FETCH_TIME);
                pending.read_at = read_at;
            }
        }
        let running = BatchCall {
            target: id.clone(),
            started: now,
            expected,
            bytes,
            pieces,
        };
        self.calls.insert(call, running);
        self.steps.push(BatchAction::Call {
            call,
            target: id,
            work,
        });
    }

    fn take_work(&self, job: JobId, piece: u16, now: Instant) -> PieceWork {
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
                    target.hold(&name, bytes, until);
                }
                let maker = target.to_string();
                let result = StageResult { maker, name };
                self.take_result(job, piece, result, now);
            }
            PieceOutcome::NoRoom => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.cap_room(bytes, now);
                }
                self.put_back(job, piece, PieceOutcome::NoRoom);
            }
            PieceOutcome::Failed => self.put_back(job, piece, PieceOutcome::Failed),
            PieceOutcome::Late | PieceOutcome::InputGone | PieceOutcome::Moved => {
                if self.jobs.contains_key(&job) {
                    self.end_job(job, outcome, now);
                }
            }
        }
    }

    fn take_result(&mut self, job: JobId, piece: u16, result: StageResult, now: Instant) {
        let Some(pending) = self.jobs.get_mut(&job) else {
            self.free([result], now);
            return;
        };
        pending.made[usize::from(piece)] = Some(result);
        if pending.made.iter().any(Option::is_none) {
            return;
        }
        if let Some(pending) = self.jobs.remove(&job) {
            let results = pending.made.into_iter().flatten().collect();
            self.steps.push(BatchAction::Made { job, results });
        }
    }

    fn put_back(&mut self, job: JobId, piece: u16, outcome: PieceOutcome) {
        let Some(pending) = self.jobs.get_mut(&job) else {
            return;
        };
        pending.tries += 1;
        pending.failed += u32::from(outcome == PieceOutcome::Failed);
        let pieces = u32::from(pending.job.pieces);
        if pending.tries > PIECE_TRIES * pieces || pending.failed > FAILED_TRIES * pieces {
            self.jobs.remove(&job);
            self.steps.push(BatchAction::Failed { job, outcome });
            return;
        }
        pending.waiting.push_front(piece);
        pending.read_at = None;
    }

    fn flush_freed(&mut self) {
        self.free_at = None;
        for (target, results) in std::mem::take(&mut self.freed) {
            self.steps.push(BatchAction::Free { target, results });
        }
    }
}
