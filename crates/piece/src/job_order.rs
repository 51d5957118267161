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

/// Place of a job in the order; the fields are compared from the first to the last.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobPlace {
    /// True if none of its pieces has been started.
    is_unstarted: bool,
    group: JobGroup,
    /// True if its customer has had its fair share.
    is_excess: bool,
    goal_at: Instant,
    id: JobId,
}

/// Jobs among which customers get fair shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobGroup {
    /// True if they will miss their latency goal.
    is_late: bool,
    urgency: u8,
}

/// Pieces that customers have waiting in one group, as they are put in order.
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
        let mut queue: Vec<JobPlace> = waiting
            .map(|(id, pending)| JobPlace {
                is_unstarted: !pending.is_started(),
                group: JobGroup {
                    is_late: pending.goal_at < earliest_done,
                    urgency: self.rank_in_force(pending).urgency,
                },
                is_excess: false,
                goal_at: pending.goal_at,
                id: *id,
            })
            .collect();
        queue.sort_unstable();
        if self.has_several_customers() {
            self.mark_excess(&mut queue, now);
            queue.sort_unstable();
        }
        queue.into_iter().map(|place| place.id).collect()
    }

    /// Marks the jobs that are beyond their customer's fair share. The queue is in order without
    /// the marks.
    fn mark_excess(&self, queue: &mut [JobPlace], now: Instant) {
        let mut shares: BTreeMap<JobGroup, CustomerShares> = BTreeMap::new();
        for place in queue.iter().filter(|place| place.is_unstarted) {
            let group = shares.entry(place.group).or_default();
            group.customers.insert(self.jobs[&place.id].rank.customer);
        }
        for place in queue.iter_mut().filter(|place| place.is_unstarted) {
            let Some(group) = shares.get_mut(&place.group) else {
                continue;
            };
            if group.customers.len() < 2 {
                continue;
            }
            let pending = &self.jobs[&place.id];
            let capacity = self.capacity_until(place.goal_at, now);
            let fair_share = capacity.div_ceil(group.customers.len());
            let taken = group.taken.entry(pending.rank.customer).or_default();
            place.is_excess = *taken >= fair_share;
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
