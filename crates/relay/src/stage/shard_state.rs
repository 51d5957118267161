use {
    piece::{BatchScheduler, JobId, PieceOutcome, StageResult},
    plan::PieceSpec,
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Time after a change of owner within which calls of the previous owner may still run at the
/// targets.
const OWNER_CHANGE_GRACE: Duration = Duration::from_millis(1_500);

/// Outcome of a job: the results of its pieces, or why it failed.
pub type JobOutcome = Result<Vec<StageResult>, PieceOutcome>;
/// Called when the inputs of a job have been fetched.
pub type InputsReadHook = Rc<dyn Fn()>;

/// Receivers of the progress of a job.
pub struct JobWaiter {
    pub outcome: oneshot::Sender<JobOutcome>,
    pub on_inputs_read: InputsReadHook,
}

/// Scheduler of one shard of a pool, and the waiters for its jobs.
pub struct ShardState {
    /// Pool that the shard belongs to.
    pub pool: String,
    pub scheduler: BatchScheduler,
    /// Time at which this entry became the owner of the shard; `None` if it is not the owner.
    owned_since: Option<Instant>,
    pub waiters: HashMap<JobId, JobWaiter>,
}

impl ShardState {
    /// Creates the state of a shard without targets.
    pub fn new(pool: &str, spec: PieceSpec) -> Self {
        Self {
            pool: pool.to_string(),
            scheduler: BatchScheduler::new(spec),
            owned_since: None,
            waiters: HashMap::new(),
        }
    }

    /// Removes all targets, since the pool no longer has this shard, and fails the jobs that have
    /// not started.
    pub fn close(&mut self, spec: PieceSpec, now: Instant) {
        self.scheduler.set_targets([], spec, now);
        self.scheduler.fail_unstarted_jobs(now);
    }

    /// Reports the outcome of a job to its waiter.
    pub fn report_outcome(&mut self, job: JobId, outcome: JobOutcome) {
        if let Some(waiter) = self.waiters.remove(&job) {
            // The request that waited for the job may have ended in the meantime.
            let _ = waiter.outcome.send(outcome);
        }
    }

    /// Sets whether this entry owns the shard. When it stops being the owner, the jobs that have
    /// not started fail.
    pub fn set_owner(&mut self, is_owner: bool, now: Instant) {
        if !is_owner && self.owned_since.take().is_some() {
            self.scheduler.fail_unstarted_jobs(now);
        }
        if is_owner {
            self.owned_since.get_or_insert(now);
        }
        let is_sole_owner = self
            .owned_since
            .is_some_and(|since| now - since > OWNER_CHANGE_GRACE);
        self.scheduler.set_shared(!is_sole_owner);
    }
}
