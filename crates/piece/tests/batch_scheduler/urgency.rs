//! Loads in which requests of several urgencies and customers compete for too little room.

use {
    crate::common::{all_made, calls, job, scheduler},
    piece::{BatchAction, BatchScheduler, JobId, JobRank, PieceWork},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(10);
/// Time of a call with a full batch of eight pieces.
const CALL_TIME: Duration = Duration::from_millis(368);
/// Age of the waits by which requests are let in.
const WAIT_AGE_TICKS: u32 = 25;
/// Time within which a request must be made to be in time, and after which it is of no use.
const GOAL_MS: u64 = 1_200;
const DEADLINE_MS: u64 = 5_000;
/// Share of the time left for which a request that will be late may wait to be let in.
const MAX_LATE_SHARE: f64 = 0.85;
/// Time over which shares are compared.
const WINDOW: Duration = Duration::from_secs(2);
/// By how much the share of a class may be below that of a less urgent one.
const MAX_INVERSION: f64 = 0.05;
/// Share of the pieces that may be made for jobs which are then not finished.
const MAX_WASTED_SHARE: f64 = 0.02;

/// Requests of one urgency and customer.
#[derive(Clone)]
struct Arrivals {
    rank: JobRank,
    /// Jobs of two pieces a second.
    per_second: f64,
    /// Factor by which they come more often in the burst.
    burst: f64,
}

/// What became of a request.
struct Outcome {
    rank: JobRank,
    arrived: Instant,
    is_served: bool,
}

/// One pool, the requests for it, and how they are let in: by waits that are a moment old.
struct PoolLoad {
    scheduler: BatchScheduler,
    now: Instant,
    open: BTreeMap<JobId, (JobRank, Instant)>,
    running: Vec<(u64, Vec<PieceWork>, Instant)>,
    /// Waits of each urgency: of timely work and of late work.
    waits: BTreeMap<u8, (Duration, Duration)>,
    outcomes: Vec<Outcome>,
    pieces_made: u32,
    pieces_used: u32,
}

impl PoolLoad {
    fn new(target_count: usize) -> Self {
        let now = Instant::now();
        let ids: Vec<String> = (0..target_count).map(|n| format!("t{n}")).collect();
        let targets: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "a")).collect();
        Self {
            scheduler: scheduler(&targets, now),
            now,
            open: BTreeMap::new(),
            running: Vec::new(),
            waits: BTreeMap::new(),
            outcomes: Vec::new(),
            pieces_made: 0,
            pieces_used: 0,
        }
    }

    fn run(&mut self, duration: Duration, arrivals: &[Arrivals], is_burst: bool) {
        let mut due = vec![0.0; arrivals.len()];
        for tick in 0..(duration.as_millis() / TICK.as_millis()) as u32 {
            if tick.is_multiple_of(WAIT_AGE_TICKS) {
                self.tell_waits(arrivals);
            }
            for (kind, due) in arrivals.iter().zip(&mut due) {
                let factor = if is_burst { kind.burst } else { 1.0 };
                *due += kind.per_second * factor * TICK.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.arrive(kind.rank);
                }
            }
            self.step();
        }
    }

    fn tell_waits(&mut self, arrivals: &[Arrivals]) {
        for kind in arrivals {
            let urgency = kind.rank.urgency;
            let timely = self.scheduler.timely_wait_of(urgency, self.now);
            let late = self.scheduler.queue_end_wait_of(urgency, self.now);
            self.waits.insert(urgency, (timely, late));
        }
    }

    fn arrive(&mut self, rank: JobRank) {
        let (timely, late) = self.waits[&rank.urgency];
        let is_timely = timely + CALL_TIME <= Duration::from_millis(GOAL_MS);
        let max_late = Duration::from_millis(DEADLINE_MS).mul_f64(MAX_LATE_SHARE);
        if !is_timely && late + CALL_TIME > max_late {
            self.end(rank, self.now, false);
            return;
        }
        let job = job(2, 1_000, GOAL_MS, DEADLINE_MS);
        let id = self.scheduler.submit_ranked(job, rank, self.now);
        self.open.insert(id, (rank, self.now));
    }

    fn step(&mut self) {
        let actions = self.scheduler.take_actions(self.now);
        for action in &actions {
            let (job, results) = match action {
                BatchAction::Made { job, results } => (job, Some(results)),
                BatchAction::Failed { job, .. } => (job, None),
                _ => continue,
            };
            if let Some((rank, arrived)) = self.open.remove(job) {
                self.end(rank, arrived, results.is_some());
            }
            if let Some(results) = results {
                self.pieces_used += results.len() as u32;
                self.scheduler.free_results(results.clone(), self.now);
            }
        }
        let calls = calls(actions);
        let calls = calls.into_iter();
        self.running
            .extend(calls.map(|(call, _, work)| (call, work, self.now + CALL_TIME)));
        self.now += TICK;
        let now = self.now;
        let ended = self
            .running
            .extract_if(.., |(_, _, ends_at)| *ends_at <= now);
        for (call, work, _) in ended.collect::<Vec<_>>() {
            self.pieces_made += work.len() as u32;
            self.scheduler.finish_call(call, all_made(&work), now);
        }
    }

    fn end(&mut self, rank: JobRank, arrived: Instant, is_served: bool) {
        self.outcomes.push(Outcome {
            rank,
            arrived,
            is_served,
        });
    }

    /// Returns the share of the requests that `counts` accepts and that were served.
    fn served_share(&self, counts: impl Fn(&Outcome) -> bool) -> Option<f64> {
        let counted: Vec<&Outcome> = self.outcomes.iter().filter(|one| counts(one)).collect();
        let served = counted.iter().filter(|one| one.is_served).count();
        (counted.len() >= 5).then(|| served as f64 / counted.len() as f64)
    }

    /// Asserts that in no window since then a class is served less often than a less urgent one.
    fn assert_in_order(&self, from: Instant) {
        let mut start = from;
        while start + WINDOW <= self.now {
            let share = |urgency: u8| {
                self.served_share(|one| {
                    one.rank.urgency == urgency
                        && one.arrived >= start
                        && one.arrived < start + WINDOW
                })
            };
            for (urgent, other) in [(0, 1), (1, 2), (0, 2)] {
                if let (Some(urgent_share), Some(other_share)) = (share(urgent), share(other)) {
                    assert!(
                        urgent_share + MAX_INVERSION >= other_share,
                        "{:?} after the start of the burst class {urgent} is served \
                         {urgent_share:.2}, class {other} {other_share:.2}",
                        start - from
                    );
                }
            }
            start += Duration::from_millis(500);
        }
    }

    fn assert_little_waste(&self) {
        let wasted = self.pieces_made - self.pieces_used;
        let share = f64::from(wasted) / f64::from(self.pieces_made);
        assert!(share < MAX_WASTED_SHARE, "{wasted} of {}", self.pieces_made);
    }
}

fn class(urgency: u8, per_second: f64, burst: f64) -> Arrivals {
    let rank = JobRank {
        urgency,
        customer: 1,
    };
    Arrivals {
        rank,
        per_second,
        burst,
    }
}

/// Runs a pool of three targets, which make about 32 jobs a second, with a burst of 7 s.
fn run_burst(arrivals: &[Arrivals]) -> PoolLoad {
    let mut load = PoolLoad::new(3);
    load.run(Duration::from_secs(4), arrivals, false);
    let burst_at = load.now;
    load.run(Duration::from_secs(7), arrivals, true);
    load.run(Duration::from_secs(6), arrivals, false);
    load.assert_in_order(burst_at);
    load.assert_little_waste();
    load
}

#[test]
fn urgent_requests_go_first_when_they_come_three_times_as_often() {
    run_burst(&[class(0, 8.0, 3.0), class(1, 10.0, 1.0), class(2, 9.0, 1.0)]);
}

#[test]
fn urgent_requests_go_first_when_the_least_urgent_come_four_times_as_often() {
    let load = run_burst(&[class(0, 8.0, 1.0), class(1, 10.0, 1.0), class(2, 9.0, 4.0)]);
    let urgent = load.served_share(|one| one.rank.urgency == 0).unwrap();
    assert!(urgent > 0.97, "{urgent:.3}");
}

#[test]
fn urgent_requests_go_first_when_all_come_more_often() {
    run_burst(&[class(0, 8.0, 3.0), class(1, 10.0, 2.0), class(2, 9.0, 4.0)]);
}

/// The most urgent class alone fills the pool; the others are still served now and then.
#[test]
fn no_class_waits_for_ever() {
    let arrivals = [class(0, 40.0, 1.0), class(2, 8.0, 1.0)];
    let mut load = PoolLoad::new(3);
    load.run(Duration::from_secs(30), &arrivals, false);
    let share = load.served_share(|one| one.rank.urgency == 2).unwrap();
    assert!(share > 0.05, "{share:.3}");
}

/// One customer of the urgent class sends ten times as much; the others keep what they had.
#[test]
fn a_customer_that_sends_ten_times_as_much_takes_no_more_than_its_share() {
    let customers = (1..=5).map(|customer| Arrivals {
        rank: JobRank {
            urgency: 0,
            customer,
        },
        per_second: 4.0,
        burst: if customer == 1 { 10.0 } else { 1.0 },
    });
    let customers: Vec<Arrivals> = customers.collect();
    let mut load = PoolLoad::new(3);
    load.run(Duration::from_secs(3), &customers, false);
    let burst_at = load.now;
    load.run(Duration::from_secs(7), &customers, true);
    load.run(Duration::from_secs(6), &customers, false);
    for customer in 2..=5 {
        let share =
            load.served_share(|one| one.rank.customer == customer && one.arrived >= burst_at);
        // Together the others ask for half of what the pool makes, so each has a right to all of it.
        assert!(share.unwrap() > 0.5, "customer {customer}: {share:?}");
    }
}

/// While the pool has time for all, urgent jobs with time to spare do not make others late.
#[test]
fn the_earliest_goal_goes_first_while_all_can_be_made_in_time() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    for _ in 0..3 {
        scheduler.submit_ranked(job(8, 1_000, 5_000, 9_000), JobRank::default(), now);
    }
    let less_urgent = JobRank {
        urgency: 1,
        customer: 0,
    };
    let tight = scheduler.submit_ranked(job(8, 1_000, 900, 9_000), less_urgent, now);
    let first = calls(scheduler.take_actions(now));
    assert!(first[0].2.iter().all(|piece| piece.job == tight));
}
