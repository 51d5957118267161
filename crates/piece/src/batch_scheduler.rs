use {
    crate::{
        BatchAction, CallId, JobId, JobRank, PieceOutcome, PieceWork, RecentArrivals, StageJob,
        batch_target::BatchTarget,
        pending_job::{BatchCall, PendingJob},
    },
    plan::PieceSpec,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time from the start of a call until its target has fetched the inputs of the pieces.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Share of a target's free room that is used, since result sizes are estimates.
const ROOM_SHARE: f64 = 0.95;

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
    pub(super) calls: BTreeMap<CallId, BatchCall>,
    /// Actions that [`Self::take_actions`] returns next.
    pub(super) actions: Vec<BatchAction>,
    /// Names of results to be freed, by target.
    pub(super) freed_results: BTreeMap<String, Vec<String>>,
    /// Time at which the targets are told of `freed_results`; `None` if there are none.
    pub(super) flush_at: Option<Instant>,
    /// Jobs that arrived lately in time to meet their goal.
    pub(super) arrivals: RecentArrivals,
    /// Time until which the pool counts as short of targets; `None` if it never did.
    pub(super) short_until: Option<Instant>,
    /// Number of calls started so far.
    pub(super) call_count: u64,
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
            arrivals: RecentArrivals::default(),
            short_until: None,
            call_count: 0,
            is_shared: false,
            last_id: 0,
        }
    }

    /// Returns the capacity and call times of each target.
    pub fn spec(&self) -> PieceSpec {
        self.spec
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

    /// Queues a job of the highest urgency and returns its number.
    pub fn submit(&mut self, job: StageJob, now: Instant) -> JobId {
        self.submit_ranked(job, JobRank::default(), now)
    }

    /// Queues a job and returns its number.
    pub fn submit_ranked(&mut self, job: StageJob, rank: JobRank, now: Instant) -> JobId {
        let id = self.next_id();
        let pending = PendingJob::new(job, rank, now);
        if pending.goal_at >= now + self.call_time(1) {
            self.arrivals.record(pending.waiting.len(), now);
        }
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

    /// Fails jobs that would miss their deadline, starts calls, and returns all actions that have
    /// come up since the last time.
    pub fn take_actions(&mut self, now: Instant) -> Vec<BatchAction> {
        self.update_shortage(now);
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

    /// Ends a job without its results, since its pieces must not be sent to another target. Does nothing
    /// if the job has ended.
    pub fn give_up(&mut self, job: JobId, now: Instant) {
        if self.jobs.contains_key(&job) {
            self.fail_job(job, PieceOutcome::Failed, now);
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
                .then(|| (id.clone(), room, target.slowness_now(now)))
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
        self.call_count += 1;
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
}
