//! Whether the limit follows what a pool can take.

use {
    limit::{ConcurrencyLimit, LimitRange, ReleaseOutcome},
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

const SERVICE: Duration = Duration::from_millis(50);
const RANGE: LimitRange = LimitRange { min: 4, max: 400 };

/// A pool that runs so many calls at once, in order, under a caller that always has more.
struct BusyPool {
    now: Instant,
    places: BinaryHeap<Reverse<Instant>>,
    running: BinaryHeap<Reverse<(Instant, Instant)>>,
    service: Duration,
}

impl BusyPool {
    fn new(places: usize) -> Self {
        let now = Instant::now();
        Self {
            now,
            places: vec![Reverse(now); places].into(),
            running: BinaryHeap::new(),
            service: SERVICE,
        }
    }

    /// Gives the pool another size from now on.
    fn resize(&mut self, places: usize) {
        self.places = vec![Reverse(self.now); places].into();
    }

    /// Runs for a while; returns the number of calls answered and their mean latency.
    fn run(&mut self, limit: &mut ConcurrencyLimit, time: Duration) -> (u32, Duration) {
        let end = self.now + time;
        let (mut answered, mut total) = (0, Duration::ZERO);
        while self.now < end {
            while limit.try_acquire() {
                let Reverse(free) = self.places.pop().expect("the pool has places");
                let done = free.max(self.now) + self.service;
                self.places.push(Reverse(done));
                self.running.push(Reverse((done, self.now)));
            }
            let Reverse((done, sent)) = self.running.pop().expect("calls run");
            self.now = self.now.max(done);
            answered += 1;
            total += done - sent;
            limit.release(ReleaseOutcome::Answered, done - sent, self.now);
        }
        (answered, total / answered)
    }
}

fn check_use(pool: &mut BusyPool, limit: &mut ConcurrencyLimit, places: u32) {
    let seconds = 10;
    let (answered, latency) = pool.run(limit, Duration::from_secs(seconds.into()));
    let possible = (f64::from(places * seconds) / pool.service.as_secs_f64()) as u32;
    assert!(answered * 10 >= possible * 9, "{answered} of {possible}");
    assert!(
        latency <= 2 * pool.service,
        "{latency:?} with {places} places"
    );
}

#[test]
fn the_limit_fills_the_pool_without_a_long_queue() {
    for places in [10, 40, 160] {
        let mut pool = BusyPool::new(places as usize);
        let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
        pool.run(&mut limit, Duration::from_secs(20));
        check_use(&mut pool, &mut limit, places);
    }
}

#[test]
fn the_limit_follows_a_pool_that_shrinks_and_grows() {
    let mut pool = BusyPool::new(80);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(20));
    for places in [20, 80] {
        pool.resize(places as usize);
        pool.run(&mut limit, Duration::from_secs(20));
        check_use(&mut pool, &mut limit, places);
    }
}

#[test]
fn a_long_overload_is_not_taken_for_the_normal_state() {
    let mut pool = BusyPool::new(20);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(600));
    check_use(&mut pool, &mut limit, 20);
}

#[test]
fn the_limit_learns_that_calls_have_become_longer() {
    let mut pool = BusyPool::new(40);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(20));
    pool.service = 4 * SERVICE;
    pool.run(&mut limit, Duration::from_secs(60));
    check_use(&mut pool, &mut limit, 40);
}

#[test]
fn refusals_shrink_the_limit_to_its_lower_bound() {
    let mut pool = BusyPool::new(100);
    let mut limit = ConcurrencyLimit::new(RANGE, pool.now);
    pool.run(&mut limit, Duration::from_secs(20));
    let mut now = pool.now;
    while limit.in_flight() > 0 {
        limit.release(ReleaseOutcome::Ignored, SERVICE, now);
    }
    for _ in 0..2_000 {
        now += SERVICE;
        limit.try_acquire();
        limit.release(ReleaseOutcome::Refused, SERVICE, now);
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
        let mut held = 0;
        for (kind, millis, min, extra) in steps {
            now += Duration::from_millis(millis);
            let outcome = match kind {
                0 => ReleaseOutcome::Refused,
                1 => ReleaseOutcome::TimedOut,
                2 => ReleaseOutcome::Ignored,
                _ => ReleaseOutcome::Answered,
            };
            if kind == 5 && millis % 10 == 0 {
                range = LimitRange { min, max: min + extra };
                limit.set_range(range);
            }
            while limit.try_acquire() {
                held += 1;
            }
            prop_assert!(held >= range.min);
            limit.release(outcome, Duration::from_millis(millis), now);
            held -= 1;
            prop_assert_eq!(limit.in_flight(), held);
            prop_assert!((range.min..=range.max).contains(&limit.limit()));
        }
    }
}
