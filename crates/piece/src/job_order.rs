use {
    crate::{BatchScheduler, CustomerShares, JobId, pending_job::PendingJob},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// One in this many calls goes by the goals of the jobs alone, so that no urgency and no customer
/// waits for ever.
const EVEN_CALL_INTERVAL: u64 = 12;

/// A pool counts as short once work that waits takes up what can be made in the time that is left for
/// it, divided by this: more urgent work that comes then would find it before itself.
const SHORTAGE_DIVISOR: usize = 2;
/// Time for which a pool counts as short after the last sign of it.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

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

/// The order in which jobs are served.
///
/// Started jobs come first, since half-made jobs hold room. Then come those that can still meet
/// their goal, and last those that cannot. While all can be made in time, the earliest goal goes
/// first, since that order keeps most goals. Where the pool is short, the most urgent ones go first;
/// within an urgency a customer's jobs beyond its fair share of what can be made until their goal
/// come after those of the others, and what the others do not use is left to it.
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
        let is_even_call = self.call_count.is_multiple_of(EVEN_CALL_INTERVAL);
        let goes_by_rank = self.is_short(now) && !is_even_call;
        let mut queue = self.job_places(now, goes_by_rank, is_wanted);
        if goes_by_rank && self.has_several_customers() {
            self.mark_excess(&mut queue, now);
            queue.sort_unstable();
        }
        queue.into_iter().map(|place| place.id).collect()
    }

    /// Finds out whether the pool is short: whether a job that waits will miss its goal, or would in
    /// the order of the goals. It then counts as short for a while, since urgent work that still
    /// comes would find less urgent work before it.
    pub(super) fn update_shortage(&mut self, now: Instant) {
        let mut pieces_before = 0;
        let is_short = self.job_places(now, false, |_| true).iter().any(|place| {
            pieces_before += self.jobs[&place.id].waiting.len();
            let max_pieces = self.capacity_until(place.goal_at, now) / SHORTAGE_DIVISOR;
            place.is_unstarted && (place.group.is_late || pieces_before > max_pieces)
        });
        if is_short {
            self.short_until = Some(now + SHORTAGE_TIME);
        }
    }

    /// True while the pool counts as short.
    pub(super) fn is_short(&self, now: Instant) -> bool {
        self.short_until.is_some_and(|until| until > now)
    }

    /// Returns the places of the jobs that `is_wanted` accepts, in order; urgencies count only if
    /// `has_urgencies`.
    fn job_places(
        &self,
        now: Instant,
        has_urgencies: bool,
        is_wanted: impl Fn(&PendingJob) -> bool,
    ) -> Vec<JobPlace> {
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
                    urgency: if has_urgencies {
                        pending.rank.urgency
                    } else {
                        0
                    },
                },
                is_excess: false,
                goal_at: pending.goal_at,
                id: *id,
            })
            .collect();
        queue.sort_unstable();
        queue
    }

    /// Marks the jobs that are beyond their customer's fair share. The queue is in order without
    /// the marks.
    fn mark_excess(&self, queue: &mut [JobPlace], now: Instant) {
        let mut shares: BTreeMap<JobGroup, CustomerShares> = BTreeMap::new();
        for place in queue.iter().filter(|place| place.is_unstarted) {
            let group = shares.entry(place.group).or_default();
            let pending = &self.jobs[&place.id];
            group.add_demand(pending.rank.customer, pending.waiting.len());
            // The last one has the latest goal.
            group.set_capacity(self.capacity_until(place.goal_at, now));
        }
        for place in queue.iter_mut().filter(|place| place.is_unstarted) {
            let pending = &self.jobs[&place.id];
            if let Some(group) = shares.get_mut(&place.group) {
                place.is_excess = group.take(pending.rank.customer, pending.waiting.len());
            }
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

    fn has_several_customers(&self) -> bool {
        let mut customers = self.jobs.values().map(|pending| pending.rank.customer);
        let first = customers.next();
        customers.any(|customer| Some(customer) != first)
    }
}
