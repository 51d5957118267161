use {
    crate::{BatchScheduler, JobId, JobRank, pending_job::PendingJob},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// One in this many calls goes by the goals of the jobs alone, so that no urgency and no customer
/// waits for ever.
const EVEN_CALL_INTERVAL: u64 = 12;

/// Sort key of a job: whether it has not started, whether it will miss its latency goal, its
/// urgency, whether its customer has had its fair share, the time of the goal, and its number.
type QueueKey = (bool, bool, u8, bool, Instant, JobId);

/// Pieces of one urgency that customers have waiting, as they are put in order.
#[derive(Default)]
struct CustomerShares {
    /// Customers with waiting jobs.
    customers: BTreeSet<u64>,
    /// Pieces that stand before, by customer.
    taken: BTreeMap<u64, usize>,
}

/// The order in which jobs are served.
///
/// Started jobs come first, since half-made jobs hold room. Then come those that can still meet
/// their goal, the most urgent first. Within an urgency a customer's jobs beyond its fair share of
/// what can be made until their goal come after those of the others; what the others do not use is
/// left to it. Among equals the earliest goal goes first. Jobs that will miss their goal come last.
///
/// It answers these load patterns: urgent requests, or the least urgent ones, come several times as
/// often for some seconds; one customer sends ten times as much as before; both at once.
impl BatchScheduler {
    /// Returns the jobs with waiting pieces that `is_wanted` accepts, in serving order.
    pub(super) fn sorted_jobs(
        &self,
        now: Instant,
        is_wanted: impl Fn(&PendingJob) -> bool,
    ) -> Vec<JobId> {
        let earliest_done = now + self.next_call_time();
        let waiting = self.jobs.iter();
        let waiting = waiting
            .filter(|(_, pending)| !pending.waiting.is_empty())
            .filter(|(_, pending)| is_wanted(pending));
        let mut queue: Vec<QueueKey> = waiting
            .map(|(id, pending)| {
                let is_late = pending.goal_at < earliest_done;
                let urgency = self.rank_in_force(pending).urgency;
                let is_waiting = !pending.is_started();
                (is_waiting, is_late, urgency, false, pending.goal_at, *id)
            })
            .collect();
        queue.sort_unstable();
        if self.has_several_customers() {
            self.mark_excess(&mut queue, now);
            queue.sort_unstable();
        }
        queue.into_iter().map(|(.., id)| id).collect()
    }

    /// Marks the jobs that are beyond their customer's fair share. The queue is in order without
    /// the marks.
    fn mark_excess(&self, queue: &mut [QueueKey], now: Instant) {
        let mut shares: BTreeMap<(bool, u8), CustomerShares> = BTreeMap::new();
        for (is_waiting, is_late, urgency, _, _, id) in queue.iter() {
            if *is_waiting {
                let group = shares.entry((*is_late, *urgency)).or_default();
                group.customers.insert(self.jobs[id].rank.customer);
            }
        }
        for (is_waiting, is_late, urgency, is_excess, goal_at, id) in queue.iter_mut() {
            let Some(group) = shares.get_mut(&(*is_late, *urgency)) else {
                continue;
            };
            if !*is_waiting || group.customers.len() < 2 {
                continue;
            }
            let pending = &self.jobs[id];
            let capacity = self.capacity_until(*goal_at, now);
            let fair_share = capacity.div_ceil(group.customers.len());
            let taken = group.taken.entry(pending.rank.customer).or_default();
            *is_excess = *taken >= fair_share;
            *taken += pending.waiting.len();
        }
    }

    /// Returns about how many pieces all targets can make until this time, one batch at least.
    fn capacity_until(&self, until: Instant, now: Instant) -> usize {
        let time_left = until.saturating_duration_since(now);
        let call_time = self
            .call_time(self.spec.batch)
            .max(Duration::from_millis(1));
        let calls =
            time_left.as_secs_f64() / call_time.as_secs_f64() * self.working_targets(now) as f64;
        (calls * self.spec.batch as f64).max(self.spec.batch as f64) as usize
    }

    /// Returns the rank by which a job is served now.
    fn rank_in_force(&self, pending: &PendingJob) -> JobRank {
        match self.call_count.is_multiple_of(EVEN_CALL_INTERVAL) {
            true => JobRank::default(),
            false => pending.rank,
        }
    }

    fn has_several_customers(&self) -> bool {
        let mut customers = self.jobs.values().map(|pending| pending.rank.customer);
        let first = customers.next();
        customers.any(|customer| Some(customer) != first)
    }
}
