use {
    crate::{BatchScheduler, JobId, PieceOutcome, pending_job::PendingJob},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Part of a target's room from which an order counts as large.
const LARGE_JOB_DIVISOR: u64 = 20;

/// Place of an order in the queue: begun ones first, then those whose aim can be met, oldest aim
/// first.
type QueueKey = (bool, bool, Instant, JobId);

/// How work waits for the targets of a pool, and what is given up.
///
/// Under a burst, orders that were begun and then overtaken held the room that the others needed:
/// calls went out with one piece of eight. So begun orders are finished first, a large order is
/// begun only where all of it has room, and an order that would be late for its request, given
/// what is before it, is given up while its caller can still use the answer.
impl BatchScheduler {
    /// Time until a new order would be done whose aim can still be met.
    pub fn timely_wait(&self, now: Instant) -> Duration {
        let soonest = now + self.next_call_time();
        let before = self.jobs.values();
        let before = before.filter(|pending| pending.is_started() || pending.aim_at >= soonest);
        self.queue_time(before.map(|pending| pending.waiting.len()).sum(), now)
    }

    /// Time until a new order would be done that has to let all others go first.
    pub fn queue_end_wait(&self, now: Instant) -> Duration {
        self.queue_time(self.waiting_pieces(), now)
    }

    /// Data centres with a target that is not left alone.
    pub(super) fn available_centres(&self, now: Instant) -> BTreeSet<String> {
        let able = self
            .targets
            .values()
            .filter(|target| target.backoff_until().is_none_or(|until| until <= now));
        able.map(|target| target.data_centre.clone()).collect()
    }

    /// Orders with waiting pieces in the order in which a target in the data centre serves them.
    ///
    /// Orders that belong to another data centre are left to the targets there as long as they
    /// can wait for a whole call more.
    pub(super) fn job_queue(
        &self,
        centre: &str,
        available: &BTreeSet<String>,
        now: Instant,
    ) -> Vec<JobId> {
        let urgent = now + self.call_time(self.spec.batch) + self.call_time(1);
        self.sorted_jobs(now, |pending| match &pending.job.data_centre {
            Some(wanted) if wanted != centre => {
                pending.aim_at < urgent || !available.contains(wanted)
            }
            _ => true,
        })
    }

    /// Pieces for a call to a target with so much room.
    pub(super) fn fill_batch(&self, queue: &[JobId], mut room: u64) -> Vec<(JobId, u16, u64)> {
        let mut pieces = Vec::new();
        for number in queue {
            let pending = &self.jobs[number];
            let bytes = pending.job.result_bytes;
            if !self.may_start(pending, room) {
                continue;
            }
            for piece in &pending.waiting {
                if pieces.len() == self.spec.batch || bytes > room {
                    break;
                }
                room -= bytes;
                pieces.push((*number, *piece, bytes));
            }
        }
        pieces
    }

    /// Gives up orders whose pieces would come too late, given what is before them.
    pub(super) fn drop_hopeless_jobs(&mut self, now: Instant) {
        let mut before = 0;
        let mut late = Vec::new();
        for number in self.sorted_jobs(now, |_| true) {
            let pending = &self.jobs[&number];
            let start = self.queue_time(before, now);
            let done = now + start + self.call_time(1);
            if done > pending.due_at && !pending.is_started() {
                late.push(number);
            } else {
                before += pending.waiting.len();
            }
        }
        let over = self
            .jobs
            .iter()
            .filter(|(_, pending)| pending.due_at <= now);
        late.extend(over.map(|(number, _)| *number));
        for job in late {
            if self.jobs.contains_key(&job) {
                self.fail_job(job, PieceOutcome::Late, now);
            }
        }
    }

    fn sorted_jobs(&self, now: Instant, wanted: impl Fn(&PendingJob) -> bool) -> Vec<JobId> {
        let soonest = now + self.next_call_time();
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, pending)| !pending.waiting.is_empty());
        let key = |(number, pending): (&JobId, &PendingJob)| -> QueueKey {
            (
                !pending.is_started(),
                pending.aim_at < soonest,
                pending.aim_at,
                *number,
            )
        };
        let mut queue: Vec<QueueKey> = waiting
            .filter(|(_, pending)| wanted(pending))
            .map(key)
            .collect();
        queue.sort_unstable();
        queue.into_iter().map(|(.., number)| number).collect()
    }

    /// Time of a call that takes what waits now.
    fn next_call_time(&self) -> Duration {
        self.call_time(self.waiting_pieces().clamp(1, self.spec.batch))
    }

    /// A large order is begun only where all of it has room, so that it does not hold a part of
    /// the room while it waits for the rest.
    fn may_start(&self, pending: &PendingJob, room: u64) -> bool {
        let needed = pending.job.result_bytes * pending.waiting.len() as u64;
        let large = needed > self.spec.result_memory_bytes / LARGE_JOB_DIVISOR;
        let most = self.spec.result_memory_bytes / 2;
        pending.is_started() || !large || needed.min(most) <= room
    }

    /// Time until a call begins behind so many pieces.
    fn queue_time(&self, pieces: usize, now: Instant) -> Duration {
        let targets = u32::try_from(self.targets.len()).unwrap_or(1).max(1);
        let batch = self.spec.batch.max(1);
        let full = self.call_time(batch).mul_f64(pieces as f64 / batch as f64);
        let free = self.targets.values().map(|target| target.busy_until).min();
        let next = free.map_or(Duration::ZERO, |free| free.saturating_duration_since(now));
        full / targets + next
    }
}
