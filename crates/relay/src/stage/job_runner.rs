use {
    crate::{
        shared::RelayCore,
        stage::{
            BatchService, JobFrame, JobPlace, PeerMessage,
            shard_state::{InputsReadHook, JobOutcome, JobWaiter},
            shard_wait,
        },
    },
    piece::{JobId, JobRank, PieceOutcome, StageJob, StageResult},
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Number of attempts to run a job at the owner of a shard, after which the job fails.
const MAX_OWNER_ATTEMPTS: u32 = 25;
/// Interval of checks whether jobs run while this process shuts down.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time in which the outcome of the last job is sent to the entry that waits for it.
const LAST_SEND_TIME: Duration = Duration::from_millis(25);
/// Delay before a job is submitted again after its shard changed owner or the owner was lost.
const MOVED_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Running jobs, here or at the entry that owns the shard.
impl BatchService {
    /// Chooses a shard of the pool and runs the job at the entry that owns it. If that entry is
    /// lost or gives the job back, tries again.
    ///
    /// `on_inputs_read` is called once the inputs of the job have been fetched.
    pub async fn run_job(
        &self,
        core: &RelayCore,
        pool: &str,
        job: StageJob,
        rank: JobRank,
        on_inputs_read: InputsReadHook,
    ) -> JobOutcome {
        let started = Instant::now();
        for _ in 0..MAX_OWNER_ATTEMPTS {
            let now = Instant::now();
            let centre = job.data_centre.as_deref();
            let wait = |shard: &str| shard_wait(core, shard, rank.urgency, now).timely;
            let shard = self.choose_shard(pool, centre, wait, &mut *core.random.borrow_mut());
            let Some(shard) = shard else {
                return Err(PieceOutcome::Failed);
            };
            let job = with_elapsed(&job, now - started);
            let outcome = match self.job_place(core, &shard, now) {
                JobPlace::Peer(link) => {
                    self.run_remote_job(core, &link, &shard, (job, rank), &on_inputs_read)
                        .await
                }
                JobPlace::Here => Some(
                    self.run_own_job(&shard, job, rank, Rc::clone(&on_inputs_read))
                        .await,
                ),
                JobPlace::Unknown => None,
            };
            match outcome {
                Some(outcome) if outcome != Err(PieceOutcome::Moved) => return outcome,
                _ => actix_rt::time::sleep(MOVED_RETRY_DELAY).await,
            }
        }
        Err(PieceOutcome::Moved)
    }

    /// Runs a job for a shard by calls of this entry to targets. The job is cancelled if the future
    /// is dropped.
    pub async fn run_own_job(
        &self,
        shard: &str,
        job: StageJob,
        rank: JobRank,
        on_inputs_read: InputsReadHook,
    ) -> JobOutcome {
        let now = Instant::now();
        let (outcome, receiver) = oneshot::channel();
        let job_id = {
            let mut states = self.shard_states.borrow_mut();
            let Some(state) = states.get_mut(shard) else {
                return Err(PieceOutcome::Failed);
            };
            let job_id = state.scheduler.submit_ranked(job, rank, now);
            state.waiters.insert(
                job_id,
                JobWaiter {
                    outcome,
                    on_inputs_read,
                },
            );
            job_id
        };
        self.wake.notify_one();
        let _guard = JobGuard {
            service: self,
            shard,
            job_id,
        };
        receiver.await.unwrap_or(Err(PieceOutcome::Failed))
    }

    /// Waits until no job of this entry or another one runs here and their outcomes have been sent. To
    /// be called once this entry takes no more jobs.
    pub async fn until_idle(&self) {
        while self.has_jobs() {
            actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
        actix_rt::time::sleep(LAST_SEND_TIME).await;
    }

    fn has_jobs(&self) -> bool {
        let states = self.shard_states.borrow();
        states.values().any(|state| !state.waiters.is_empty())
    }

    /// Frees results of a pool. The entries that own the shards of the results call the targets.
    pub fn free_results(&self, core: &RelayCore, pool: &str, results: Vec<StageResult>) {
        let now = Instant::now();
        let mut results_by_shard: HashMap<String, Vec<StageResult>> = HashMap::new();
        for result in results {
            let shards = self.pool_shards.borrow();
            let shard = shards
                .get(pool)
                .and_then(|shards| shards.shard_of(&result.maker));
            if let Some(shard) = shard {
                results_by_shard
                    .entry(shard.name.clone())
                    .or_default()
                    .push(result);
            }
        }
        for (shard, results) in results_by_shard {
            match self.job_place(core, &shard, now) {
                JobPlace::Peer(link) => {
                    link.send(PeerMessage::Job(JobFrame::Free { shard, results }));
                }
                JobPlace::Here | JobPlace::Unknown => self.free_own_results(&shard, results),
            }
        }
    }

    /// Frees results of a shard by calls of this entry to targets.
    pub fn free_own_results(&self, shard: &str, results: Vec<StageResult>) {
        if let Some(state) = self.shard_states.borrow_mut().get_mut(shard) {
            state.scheduler.free_results(results, Instant::now());
            self.wake.notify_one();
        }
    }
}

/// Cancels a job of this entry when dropped.
struct JobGuard<'a> {
    service: &'a BatchService,
    shard: &'a str,
    job_id: JobId,
}

impl Drop for JobGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.service.shard_states.borrow_mut().get_mut(self.shard) {
            state.scheduler.cancel(self.job_id, Instant::now());
            state.waiters.remove(&self.job_id);
        }
    }
}

/// Returns the job with its remaining times reduced by the time that has elapsed.
fn with_elapsed(job: &StageJob, elapsed: Duration) -> StageJob {
    StageJob {
        aim_left: job.aim_left.saturating_sub(elapsed),
        time_left: job.time_left.saturating_sub(elapsed),
        ..job.clone()
    }
}
