//! Tests that the concurrency limit follows the capacity of a pool.

use {
    limit::{ConcurrencyLimit, LimitRange, ReleaseOutcome},
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

const SERVICE_TIME: Duration = Duration::from_millis(50);
const RANGE: LimitRange = LimitRange { min: 4, max: 400 };

/// Simulated pool with a number of slots, which runs calls in order of arrival. Its caller always
/// has more calls than the limit admits.
struct BusyPool {
    now: Instant,
    /// Time at which each slot becomes free.
    slots_free_at: BinaryHeap<Reverse<Instant>>,
    /// End time and send time of each call that runs or waits in the pool.
    running: BinaryHeap<Reverse<(Instant, Instant)>>,
    service_time: Duration,
}

impl BusyPool {
    fn new(slot_count: usize) -> Self {
        let now = Instant::now();
        Self {
            now,
            slots_free_at: vec![Reverse(now); slot_count].into(),
            running: BinaryHeap::new(),
            service_time: SERVICE_TIME,
        }
    }

    /// Sets another number of slots, all of which are free.
    fn resize(&mut self, slot_count: usize) {
        self.slots_free_at = vec![Reverse(self.now); slot_count].into();
    }

    /// Runs the pool for this time; returns the number of calls answered and their mean latency.
    fn run(&mut self, limit: &mut ConcurrencyLimit, run_time: Duration) -> (u32, Duration) {
        let end = self.now + run_time;
        let (mut answered, mut total_latency) = (0, Duration::ZERO);
        while self.now < end {
            while limit.try_acquire() {
                let Reverse(free_at) = self.slots_free_at.pop().expect("the pool has slots");
                let done_at = free_at.max(self.now) + self.service_time;
                self.slots_free_at.push(Reverse(done_at));
                self.running.push(Reverse((done_at, self.now)));
            }
            let Reverse((done_at, sent_at)) = self.running.pop().expect("calls run");
            self.now = self.now.max(done_at);
            answered += 1;
            total_latency += done_at - sent_at;
            limit.release(ReleaseOutcome::Answered, done_at - sent_at, self.now);
        }
        (answered, total_latency / answered)
    }
}

/// Checks that calls use at least 90 % of the pool and wait at most one service time on average.
fn assert_full_use(pool: &mut BusyPool, limit: &mut ConcurrencyLimit, slot_count: u32) {
    let seconds = 10;
    let (answered, latency) = pool.run(limit, Duration::from_secs(seconds.into()));
    let possible = (f64::from(slot_count * seconds) / pool.service_time.as_secs_f64()) as u32;
    assert!(answered * 10 >= possible * 9, "{answered} of {possible}");
    assert!(
        latency <= 2 * pool.service_time,
        "{latency:?} with {slot_count} slots"
    );
}

#[test]
fn the_limit_fills_the_pool_with_little_queueing() {
    for slots in [10, 40, 160] {
        let mut pool = BusyPool::new(slots as usize);
        let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
        pool.run(&mut limit, Duration::from_secs(20));
        assert_full_use(&mut pool, &mut limit, slots);
    }
}

#[test]
fn the_limit_follows_a_pool_that_shrinks_and_grows() {
    let mut pool = BusyPool::new(80);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(20));
    for slots in [20, 80] {
        pool.resize(slots as usize);
        pool.run(&mut limit, Duration::from_secs(20));
        assert_full_use(&mut pool, &mut limit, slots);
    }
}

/// Guards against a baseline that rises to the latency of a long overload, after which the limit
/// would let the queue at the pool grow.
#[test]
fn a_long_overload_does_not_raise_the_baseline() {
    let mut pool = BusyPool::new(20);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(600));
    assert_full_use(&mut pool, &mut limit, 20);
}

/// If the baseline stayed at the earlier, shorter service time, longer calls would count as
/// queueing and the limit would stay too low.
#[test]
fn the_baseline_rises_when_calls_become_longer() {
    let mut pool = BusyPool::new(40);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(20));
    pool.service_time = 4 * SERVICE_TIME;
    pool.run(&mut limit, Duration::from_secs(60));
    assert_full_use(&mut pool, &mut limit, 40);
}

#[test]
fn refusals_shrink_the_limit_to_its_lower_bound() {
    let mut pool = BusyPool::new(100);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(20));
    let mut now = pool.now;
    while limit.in_flight() > 0 {
        limit.release(ReleaseOutcome::Ignored, SERVICE_TIME, now);
    }
    for _ in 0..2_000 {
        now += SERVICE_TIME;
        limit.try_acquire();
        limit.release(ReleaseOutcome::Refused, SERVICE_TIME, now);
    }
    assert_eq!(limit.limit(), RANGE.min);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_limit_stays_within_its_bounds(
        steps in prop::collection::vec((0_u8..6, 0_u64..2_000, 1_u32..50, 0_u32..50), 1..400),
    ) {
        let mut now = Instant::now();
        let mut range = LimitRange { min: 2, max: 30 };
        let mut limit = ConcurrencyLimit::new(range, now);
        let mut held_slots = 0;
        for (kind, elapsed_ms, min, extra) in steps {
            now += Duration::from_millis(elapsed_ms);
            let outcome = match kind {
                0 => ReleaseOutcome::Refused,
                1 => ReleaseOutcome::TimedOut,
                2 => ReleaseOutcome::Ignored,
                _ => ReleaseOutcome::Answered,
            };
            if kind == 5 && elapsed_ms % 10 == 0 {
                range = LimitRange { min, max: min + extra };
                limit.set_range(range);
            }
            while limit.try_acquire() {
                held_slots += 1;
            }
            prop_assert!(held_slots >= range.min);
            limit.release(outcome, Duration::from_millis(elapsed_ms), now);
            held_slots -= 1;
            prop_assert_eq!(limit.in_flight(), held_slots);
            prop_assert!((range.min..=range.max).contains(&limit.limit()));
        }
    }
}
