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

/// Delay before freed results are reported to their target, so that one call reports several.
const FREE_DELAY: Duration = Duration::from_millis(15);
/// Time from the start of a call until its target has fetched the inputs of the pieces.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Share of a target's free room that is used, since result sizes are estimates.
const ROOM_SHARE: f64 = 0.95;
/// Average number of times that each piece of a job may be requeued before the job fails.
const MAX_REQUEUES_PER_PIECE: u32 = 12;
/// Like `MAX_REQUEUES_PER_PIECE`, but counts only the requeues that were not due to a lack of room.
const MAX_FAILURES_PER_PIECE: u32 = 3;

/// Batches pieces of many requests into calls to the targets of one shard of a pool.
///
/// Only the entry that owns the shard calls its targets, so it knows how busy each target is and
/// how much room for results is left there. Jobs that can still meet the latency goal of
/// their request go first, earliest goal first. Jobs that cannot be made before their deadline fail
/// at once.
///
/// The scheduler does no I/O: it is given jobs and the outcomes of calls, and returns actions.
#[derive(Debug)]
pub struct BatchScheduler {
    pub(super) spec: PieceSpec,
    pub(super) targets: BTreeMap<String, BatchTarget>,
    pub(super) jobs: BTreeMap<JobId, PendingJob>,
    /// Calls that are running.
    calls: BTreeMap<CallId, BatchCall>,
    /// Actions that [`Self::take_actions`] returns next.
    actions: Vec<BatchAction>,
    /// Names of results to be freed, by target.
    freed_results: BTreeMap<String, Vec<String>>,
    /// Time at which the targets are told of `freed_results`; `None` if there are none.
    flush_at: Option<Instant>,
    /// True while another entry may still be calling the same targets.
    is_shared: bool,
    /// Last number that was assigned to a job or a call, which are numbered together.
    last_id: u64,
}

impl BatchScheduler {
    /// Creates a scheduler without targets.
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

    /// Returns the capacity and call times of each target.
    pub fn spec(&self) -> PieceSpec {
        self.spec
    }

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

    /// Sets whether another entry may still be calling the same targets.
    ///
    /// A call may then be queued at its target, so its inputs count as read only when it ends.
    pub fn set_shared(&mut self, is_shared: bool) {
        self.is_shared = is_shared;
    }

    /// Fails all jobs that have not started, with the outcome [`PieceOutcome::Moved`], because
    /// another entry now owns the shard.
    pub fn fail_unstarted_jobs(&mut self, now: Instant) {
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, pending)| !pending.is_started());
        let jobs: Vec<JobId> = jobs.map(|(id, _)| *id).collect();
        for job in jobs {
            self.fail_job(job, PieceOutcome::Moved, now);
        }
    }

    /// Queues a job and returns its number.
    pub fn submit(&mut self, job: StageJob, now: Instant) -> JobId {
        let id = self.next_id();
        let pending = PendingJob::new(job, now);
        self.jobs.insert(id, pending);
        id
    }

    /// Removes a job that nobody waits for any more and frees its results.
    pub fn cancel(&mut self, job: JobId, now: Instant) {
        if let Some(pending) = self.jobs.remove(&job) {
            let results: Vec<_> = pending.results.into_iter().flatten().collect();
            self.free_results(results, now);
        }
    }

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

    /// Fails jobs that would miss their deadline, starts calls, and returns all actions that have
    /// come up since the last time.
    pub fn take_actions(&mut self, now: Instant) -> Vec<BatchAction> {
        self.drop_hopeless_jobs(now);
        while self.start_next_call(now) {}
        self.report_inputs_read(now);
        if self.flush_at.is_some_and(|at| at <= now) {
            self.flush_freed_results(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`Self::take_actions`] should be called again even if nothing else
    /// happens until then.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let backoffs = self.targets.values().filter_map(BatchTarget::backoff_until);
        let room_caps = self
            .targets
            .values()
            .filter_map(BatchTarget::room_cap_until);
        let pauses = self.targets.values().filter_map(BatchTarget::paused_until);
        let retries = backoffs.chain(room_caps).chain(pauses);
        let retries = retries.filter(|until| *until > now);
        let deadlines = self.jobs.values().map(|pending| pending.due_at);
        let any_waiting = self
            .jobs
            .values()
            .any(|pending| !pending.waiting.is_empty());
        let retries = retries.filter(|_| any_waiting);
        // A job that waits for its data centre may go to any target once its goal is this close.
        let urgent_time = self.call_time(self.spec.batch) + self.call_time(1);
        let deferred = self
            .jobs
            .values()
            .filter(|pending| !pending.waiting.is_empty() && pending.job.data_centre.is_some());
        let deferred = deferred.filter_map(|pending| pending.goal_at.checked_sub(urgent_time));
        let deferred = deferred.filter(|at| *at > now);
        let unread = self
            .jobs
            .values()
            .filter(|pending| !pending.is_read_reported);
        let read_times = unread.filter_map(|pending| pending.inputs_read_at);
        retries
            .chain(deadlines)
            .chain(deferred)
            .chain(read_times)
            .chain(self.flush_at)
            .min()
    }

    /// Returns the number of pieces that wait for a call.
    pub fn waiting_pieces(&self) -> usize {
        self.jobs
            .values()
            .map(|pending| pending.waiting.len())
            .sum()
    }

    /// Returns the bytes that further results may take up at a target; 0 for an unknown target.
    pub fn room(&mut self, target: &str, now: Instant) -> u64 {
        let spec = self.spec;
        let target = self.targets.get_mut(target);
        target.map_or(0, |target| target.room(&spec, now))
    }

    /// Returns the expected time of a call with this many pieces at a target of average speed.
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
            let is_read = pending.inputs_read_at.is_some_and(|at| at <= now);
            if is_read && !pending.is_read_reported {
                pending.is_read_reported = true;
                self.actions.push(BatchAction::InputsRead { job: *job });
            }
        }
    }

    pub(super) fn fail_job(&mut self, job: JobId, outcome: PieceOutcome, now: Instant) {
        self.cancel(job, now);
        self.actions.push(BatchAction::Failed { job, outcome });
    }

    /// Starts one call at the fastest target that has a free slot and work to do. Returns false if
    /// no call can start.
    fn start_next_call(&mut self, now: Instant) -> bool {
        let spec = self.spec;
        let targets = self.targets.iter_mut().filter_map(|(id, target)| {
            let room = (target.room(&spec, now) as f64 * ROOM_SHARE) as u64;
            target
                .can_start_call(&spec, now)
                .then(|| (id.clone(), room, target.slowness))
        });
        let mut targets: Vec<_> = targets.collect();
        // Fastest targets first; among equally fast ones, those with the most room.
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
                let is_fully_started = pending.waiting.is_empty() && !self.is_shared;
                let inputs_read_at = is_fully_started.then_some(now + FETCH_TIME);
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
    fn flush_freed_results(&mut self, now: Instant) {
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
