use {
    crate::{
        BatchScheduler, JobId, PieceOutcome, batch_target::BatchTarget, pending_job::PendingJob,
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// A job counts as large if its results need more than a target's result memory divided by this.
const LARGE_JOB_DIVISOR: u64 = 20;

/// Share of a pool that counts as left for work that is overtaken, at the least.
const MIN_SHARE_LEFT: f64 = 0.05;

/// The queue of jobs: their order, the choice of pieces for a call, and which jobs fail as
/// hopeless.
///
/// In a burst, jobs that had started and were then overtaken kept the room of their results. The
/// jobs that overtook them lacked that room, so calls went out with one piece instead of eight. So
/// started jobs are finished first, and a large job starts only at a target with room for all its
/// results. A job that would miss its deadline, given the jobs before it, fails while its caller
/// can still use the refusal.
impl BatchScheduler {
    /// Returns the expected time until a call includes a new job that can still meet its latency
    /// goal and is the least urgent.
    pub fn timely_wait(&self, now: Instant) -> Duration {
        self.timely_wait_of(u8::MAX, now)
    }

    /// Returns the expected time until a call includes a new job of this urgency that can still meet
    /// its latency goal.
    pub fn timely_wait_of(&self, urgency: u8, now: Instant) -> Duration {
        let is_short = self.is_short(now);
        let earliest_done = now + self.next_call_time();
        let precedes = |pending: &PendingJob| {
            let is_timely = pending.goal_at >= earliest_done;
            let goes_first = !is_short || pending.rank.urgency <= urgency;
            pending.is_started() || (is_timely && goes_first)
        };
        self.wait_behind(precedes, 0, now)
    }

    /// Returns the expected time until a call includes a new job at the end of the queue.
    pub fn queue_end_wait(&self, now: Instant) -> Duration {
        self.queue_end_wait_of(u8::MAX, now)
    }

    /// Returns the expected time until a call includes a new job of this urgency that will miss its
    /// latency goal.
    pub fn queue_end_wait_of(&self, urgency: u8, now: Instant) -> Duration {
        let earliest_done = now + self.next_call_time();
        let precedes = |pending: &PendingJob| {
            let is_timely = pending.goal_at >= earliest_done;
            pending.is_started() || is_timely || pending.rank.urgency <= urgency
        };
        let overtaking = self.arrivals.pieces(now);
        self.wait_behind(precedes, overtaking, now)
    }

    /// Returns the expected time until a call includes a piece behind the jobs that `precedes`
    /// accepts, while `overtaking` pieces a second go on to arrive that are served before it.
    fn wait_behind(
        &self,
        precedes: impl Fn(&PendingJob) -> bool,
        overtaking: usize,
        now: Instant,
    ) -> Duration {
        let preceding = self.jobs.values().filter(|pending| precedes(pending));
        let pieces = preceding.map(|pending| pending.waiting.len()).sum();
        let share_left = 1.0 - overtaking as f64 / self.pieces_per_second(now);
        self.queue_time(pieces, now)
            .div_f64(share_left.max(MIN_SHARE_LEFT))
    }

    /// Returns the number of pieces that all targets together make in a second in full calls.
    fn pieces_per_second(&self, now: Instant) -> f64 {
        let call_time = self.call_time(self.spec.batch).as_secs_f64().max(0.001);
        self.working_targets(now) as f64 * self.spec.batch.max(1) as f64 / call_time
    }

    /// Returns the data centres that have a target which is not in backoff.
    pub(super) fn available_centres(&self, now: Instant) -> BTreeSet<String> {
        let available = self
            .targets
            .values()
            .filter(|target| target.takes_calls(now));
        available.map(|target| target.data_centre.clone()).collect()
    }

    /// Returns the jobs with waiting pieces, in the order in which a target in the data centre
    /// `centre` serves them.
    ///
    /// A job that prefers another data centre is left to the targets there if that centre is in
    /// `available` and the job can wait for one more full call.
    pub(super) fn job_queue(
        &self,
        centre: &str,
        available: &BTreeSet<String>,
        now: Instant,
    ) -> Vec<JobId> {
        let urgent_before = now + self.call_time(self.spec.batch) + self.call_time(1);
        self.sorted_jobs(now, |pending| match &pending.job.data_centre {
            Some(preferred) if preferred != centre => {
                pending.goal_at < urgent_before || !available.contains(preferred)
            }
            _ => true,
        })
    }

    /// Returns the pieces for a call to a target with `room` free bytes: job, position and result
    /// size in bytes of each.
    pub(super) fn fill_batch(&self, queue: &[JobId], mut room: u64) -> Vec<(JobId, u16, u64)> {
        let mut pieces = Vec::new();
        for id in queue {
            let pending = &self.jobs[id];
            let bytes = pending.job.result_bytes;
            if !self.may_start(pending, room) {
                continue;
            }
            for piece in &pending.waiting {
                if pieces.len() == self.spec.batch || bytes > room {
                    break;
                }
                room -= bytes;
                pieces.push((*id, *piece, bytes));
            }
        }
        pieces
    }

    /// Fails jobs whose deadline has passed, and jobs that are not started and would miss their
    /// deadline, given the jobs before them.
    pub(super) fn drop_hopeless_jobs(&mut self, now: Instant) {
        let mut pieces_before = 0;
        let mut late = Vec::new();
        for id in self.sorted_jobs(now, |_| true) {
            let pending = &self.jobs[&id];
            let wait = self.queue_time(pieces_before, now);
            let done_at = now + wait + self.call_time(1);
            if done_at > pending.due_at && !pending.is_started() {
                late.push(id);
            } else {
                pieces_before += pending.waiting.len();
            }
        }
        let overdue = self
            .jobs
            .iter()
            .filter(|(_, pending)| pending.due_at <= now);
        late.extend(overdue.map(|(id, _)| *id));
        for job in late {
            if self.jobs.contains_key(&job) {
                self.fail_job(job, PieceOutcome::Late, now);
            }
        }
    }

    /// Returns the expected time of a call with all pieces that wait now, up to a full batch.
    pub(super) fn next_call_time(&self) -> Duration {
        self.call_time(self.waiting_pieces().clamp(1, self.spec.batch))
    }

    /// Returns whether a job may be started at a target with `room` free bytes.
    ///
    /// A large job needs room for all its results, or for half a target's room if that is less, so
    /// that it does not hold a part of the room while it waits for the rest.
    fn may_start(&self, pending: &PendingJob, room: u64) -> bool {
        let pieces = pending.waiting.len() as u64;
        let needed = pending.job.result_bytes.saturating_mul(pieces);
        let is_large = needed > self.spec.result_memory_bytes / LARGE_JOB_DIVISOR;
        let max_needed = self.spec.result_memory_bytes / 2;
        pending.is_started() || !is_large || needed.min(max_needed) <= room
    }

    /// Returns the number of targets that take work, 1 at least.
    pub(super) fn working_targets(&self, now: Instant) -> usize {
        let takes_work = |target: &&BatchTarget| !target.leaving && !target.is_paused(now);
        self.targets.values().filter(takes_work).count().max(1)
    }

    /// Returns the expected time until a call includes a piece that waits behind `pieces_before`
    /// others.
    fn queue_time(&self, pieces_before: usize, now: Instant) -> Duration {
        let target_count = u32::try_from(self.working_targets(now)).unwrap_or(1);
        let batch = self.spec.batch.max(1);
        let total_time = self
            .call_time(batch)
            .mul_f64(pieces_before as f64 / batch as f64);
        let staying = self.targets.values().filter(|target| !target.leaving);
        let free_at = staying.map(|target| match target.paused_until() {
            Some(until) => until.max(target.busy_until),
            None => target.busy_until,
        });
        let free_at = free_at.min();
        let time_to_free = free_at.map_or(Duration::ZERO, |free_at| {
            free_at.saturating_duration_since(now)
        });
        total_time / target_count + time_to_free
    }
}
