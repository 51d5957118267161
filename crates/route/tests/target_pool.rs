//! Which target a call goes to when targets are slow, fail, leave or come back.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec, TargetStanding},
    std::time::{Duration, Instant},
};

const SERVICE: Duration = Duration::from_millis(100);

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn spec(target: usize) -> TargetSpec {
    TargetSpec {
        target: format!("t{target}"),
        address: format!("127.0.0.1:{}", 9_000 + target),
        data_centre: String::from("north"),
        capacity: 4,
        leaving: false,
    }
}

fn pool_of(targets: usize, now: Instant) -> TargetPool {
    let mut pool = TargetPool::new(PoolSettings::default(), 5);
    pool.set_targets((0..targets).map(spec), now);
    pool
}

fn query() -> PickQuery<'static> {
    PickQuery {
        local_centre: "north",
        ..PickQuery::default()
    }
}

/// Sends one call after another, each answered before the next; counts those that `t0` got.
fn send_calls(
    pool: &mut TargetPool,
    now: &mut Instant,
    calls: usize,
    outcome_of: impl Fn(&str) -> (CallOutcome, Duration),
) -> usize {
    let mut to_first = 0;
    for _ in 0..calls {
        let pick = pool.pick(query(), *now).expect("there are targets");
        to_first += usize::from(pick.target == "t0");
        pool.record_start(&pick.target, *now);
        let (outcome, elapsed) = outcome_of(&pick.target);
        *now += elapsed;
        pool.record_end(&pick.target, elapsed, outcome, None, *now);
    }
    to_first
}

fn first_fails(target: &str) -> (CallOutcome, Duration) {
    match target {
        "t0" => (CallOutcome::Failed, Duration::from_millis(1)),
        _ => (CallOutcome::Answered, SERVICE),
    }
}

fn all_whole(_: &str) -> (CallOutcome, Duration) {
    (CallOutcome::Answered, SERVICE)
}

fn standing(pool: &TargetPool, now: Instant) -> TargetStanding {
    pool.status(now)[0].standing
}

#[test]
fn a_target_that_fails_fast_draws_no_calls() {
    for targets in [2, 3, 10] {
        let mut now = Instant::now();
        let mut pool = pool_of(targets, now);
        let failed = send_calls(&mut pool, &mut now, 1_000, first_fails);
        assert!(failed < 50, "{failed} of 1000 calls among {targets}");
    }
}

#[test]
fn a_target_that_hangs_gets_no_more_than_a_few_calls() {
    let mut now = Instant::now();
    let mut pool = pool_of(5, now);
    let mut hung = 0;
    for _ in 0..500 {
        let pick = pool.pick(query(), now).expect("there are targets");
        pool.record_start(&pick.target, now);
        now += Duration::from_millis(20);
        if pick.target == "t0" {
            hung += 1;
        } else {
            pool.record_end(&pick.target, SERVICE, CallOutcome::Answered, None, now);
        }
    }
    assert!(hung <= 8, "{hung} calls hang");
}

#[test]
fn an_ejected_target_returns_slowly_and_for_good() {
    let mut now = Instant::now();
    let mut pool = pool_of(4, now);
    for _ in 0..5 {
        pool.record_start("t0", now);
        pool.record_end("t0", SERVICE, CallOutcome::Lost, None, now);
    }
    assert!(matches!(standing(&pool, now), TargetStanding::Ejected(_)));
    assert_eq!(pool.take_changes().len(), 1);
    assert!(pool.take_changes().is_empty());
    assert_eq!(send_calls(&mut pool, &mut now, 40, all_whole), 0);
    now += Duration::from_secs(61);
    pool.pick(query(), now);
    assert!(matches!(standing(&pool, now), TargetStanding::Returning(_)));
    assert!(pool.usable_capacity(now) < 14);
    for _ in 0..40 {
        let pick = pool.pick(query(), now).expect("there are targets");
        pool.record_start(&pick.target, now);
    }
    assert_eq!(pool.status(now)[0].in_flight, 1);
    for row in pool.status(now) {
        for _ in 0..row.in_flight {
            pool.record_end(&row.target, SERVICE, CallOutcome::Answered, None, now);
        }
    }
    send_calls(&mut pool, &mut now, 200, all_whole);
    assert_eq!(standing(&pool, now), TargetStanding::Usable);
    let calls = send_calls(&mut pool, &mut now, 400, all_whole);
    assert!((50..=150).contains(&calls), "{calls} of 400 calls among 4");
}

#[test]
fn a_pool_that_fails_altogether_ejects_nobody() {
    let mut now = Instant::now();
    let mut pool = pool_of(10, now);
    let all_fail = |_: &str| (CallOutcome::Failed, Duration::from_millis(1));
    send_calls(&mut pool, &mut now, 1_000, all_fail);
    let status = pool.status(now);
    let out = |row: &&route::TargetStatus| matches!(row.standing, TargetStanding::Ejected(_));
    assert!(status.iter().filter(out).count() <= 3);
    assert!(pool.expected_service(now) <= 2 * SERVICE);
}

#[test]
fn calls_that_still_run_do_not_make_a_pool_look_slower_than_it_is() {
    let long = Duration::from_secs(2);
    for targets in [1, 4] {
        let mut now = Instant::now();
        let mut pool = pool_of(targets, now);
        let calls: Vec<String> = (0..targets * 3)
            .map(|_| {
                let pick = pool.pick(query(), now).expect("there are targets");
                pool.record_start(&pick.target, now);
                pick.target
            })
            .collect();
        for _ in 0..40 {
            now += Duration::from_millis(50);
            assert!(pool.expected_service(now) <= long);
        }
        for target in calls {
            pool.record_end(&target, long, CallOutcome::Answered, None, now);
        }
        assert!(pool.expected_service(now) <= long);
    }
}

#[test]
fn a_prefix_stays_with_its_target_until_that_is_busy() {
    let now = Instant::now();
    let mut pool = pool_of(8, now);
    let mut other = TargetPool::new(PoolSettings::default(), 99);
    other.set_targets((0..8).map(spec), now);
    for prefix in 0..50 {
        let query = PickQuery {
            prefix_hash: Some(prefix),
            ..query()
        };
        let owner = pool.pick(query, now).unwrap().target;
        assert_eq!(other.pick(query, now).unwrap().target, owner);
        for _ in 0..40 {
            other.record_start(&owner, now);
        }
        assert_ne!(other.pick(query, now).unwrap().target, owner);
        for _ in 0..40 {
            other.record_end(&owner, Duration::ZERO, CallOutcome::Cancelled, None, now);
        }
    }
}

#[test]
fn the_own_data_centre_is_preferred_while_it_is_not_busier() {
    let now = Instant::now();
    let mut pool = TargetPool::new(PoolSettings::default(), 5);
    let mut far = spec(0);
    far.data_centre = String::from("south");
    pool.set_targets([far, spec(1)], now);
    for _ in 0..20 {
        assert_eq!(pool.pick(query(), now).unwrap().target, "t1");
    }
    for _ in 0..4 {
        pool.record_start("t1", now);
    }
    assert_eq!(pool.pick(query(), now).unwrap().target, "t0");
}

#[test]
fn calls_that_outlive_their_row_are_still_counted() {
    let now = Instant::now();
    let mut pool = pool_of(2, now);
    pool.record_start("t0", now);
    pool.set_targets([spec(1)], now);
    assert_eq!(pool.pick(query(), now).unwrap().target, "t1");
    pool.set_targets([spec(0), spec(1)], now);
    assert_eq!(pool.status(now)[0].in_flight, 1);
    pool.record_end("t0", SERVICE, CallOutcome::Answered, None, now);
    assert_eq!(pool.status(now)[0].in_flight, 0);
}

#[test]
fn a_pause_of_this_process_ejects_nobody() {
    let mut now = Instant::now();
    let mut pool = pool_of(6, now);
    send_calls(&mut pool, &mut now, 200, all_whole);
    for _ in 0..6 {
        pool.record_start("t0", now);
    }
    now += Duration::from_secs(30);
    pool.skip_pause(now);
    pool.pick(query(), now);
    assert_eq!(standing(&pool, now), TargetStanding::Usable);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn picks_respect_tried_and_leaving_and_ejections_stay_bounded(
        targets in 1_usize..12,
        choices in prop::sample::select(vec![0, 1, 3, usize::MAX]),
        leaving in prop::collection::vec(any::<bool>(), 12),
        steps in prop::collection::vec((0_u8..6, 0_u64..3_000, any::<bool>()), 1..200),
    ) {
        let mut now = Instant::now();
        let settings = PoolSettings { choices, ..PoolSettings::default() };
        let mut pool = TargetPool::new(settings, 5);
        let rows = (0..targets).map(|place| TargetSpec { leaving: leaving[place], ..spec(place) });
        pool.set_targets(rows, now);
        let open: Vec<String> = (0..targets)
            .filter(|&place| !leaving[place])
            .map(|place| format!("t{place}"))
            .collect();
        for (kind, millis, skip) in steps {
            let tried: Vec<String> = open.first().filter(|_| skip).cloned().into_iter().collect();
            let query = PickQuery { tried: &tried, ..query() };
            let pick = pool.pick(query, now);
            prop_assert_eq!(pick.is_some(), open.len() > tried.len());
            let Some(pick) = pick else { continue };
            prop_assert!(open.contains(&pick.target) && !tried.contains(&pick.target));
            pool.record_start(&pick.target, now);
            let elapsed = Duration::from_millis(millis);
            now += elapsed;
            let outcome = [
                CallOutcome::Answered,
                CallOutcome::Failed,
                CallOutcome::Refused,
                CallOutcome::Lost,
                CallOutcome::Cancelled,
                CallOutcome::TimedOut,
            ][usize::from(kind)];
            pool.record_end(&pick.target, elapsed, outcome, Some(0.5), now);
            let status = pool.status(now);
            let is_out = |row: &&route::TargetStatus| matches!(row.standing, TargetStanding::Ejected(_));
            let out = status.iter().filter(is_out).count();
            prop_assert!(out as f64 <= 0.34 * targets as f64);
            prop_assert!(status.iter().all(|row| row.in_flight == 0));
        }
    }
}
