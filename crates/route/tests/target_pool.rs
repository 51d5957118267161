//! Tests which target a call goes to when targets are slow, fail, leave or return from an ejection.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec, TargetStanding},
    std::time::{Duration, Instant},
};

const SERVICE_TIME: Duration = Duration::from_millis(100);

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

fn pool_of(target_count: usize, now: Instant) -> TargetPool {
    let mut pool = TargetPool::new(PoolSettings::default(), 5);
    pool.set_targets((0..target_count).map(spec), now);
    pool
}

fn query() -> PickQuery<'static> {
    PickQuery {
        local_centre: "north",
        ..PickQuery::default()
    }
}

/// Sends calls one after another, each after the end of the one before; returns the number that
/// `t0` got.
fn send_calls(
    pool: &mut TargetPool,
    now: &mut Instant,
    call_count: usize,
    outcome_of: impl Fn(&str) -> (CallOutcome, Duration),
) -> usize {
    let mut to_first = 0;
    for _ in 0..call_count {
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
        _ => (CallOutcome::Answered, SERVICE_TIME),
    }
}

fn all_answer(_: &str) -> (CallOutcome, Duration) {
    (CallOutcome::Answered, SERVICE_TIME)
}

fn first_standing(pool: &TargetPool, now: Instant) -> TargetStanding {
    pool.status(now)[0].standing
}

/// A target that answers every call at once with an error has the fewest calls in flight, so a
/// choice by load alone would send most calls to it.
#[test]
fn a_target_that_fails_fast_attracts_no_calls() {
    for targets in [2, 3, 10] {
        let mut now = Instant::now();
        let mut pool = pool_of(targets, now);
        let failed = send_calls(&mut pool, &mut now, 1_000, first_fails);
        assert!(failed < 50, "{failed} of 1000 calls among {targets}");
    }
}

/// A target that never answers yields no latency samples; the calls that stay in flight must show
/// that it is slow.
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
            pool.record_end(&pick.target, SERVICE_TIME, CallOutcome::Answered, None, now);
        }
    }
    assert!(hung <= 8, "{hung} calls went to the target that hangs");
}

/// A returning target must not get its full share at once, and must not stay in slow start.
#[test]
fn an_ejected_target_returns_in_slow_start_and_then_gets_its_full_share() {
    let mut now = Instant::now();
    let mut pool = pool_of(4, now);
    for _ in 0..5 {
        pool.record_start("t0", now);
        pool.record_end("t0", SERVICE_TIME, CallOutcome::Lost, None, now);
    }
    assert!(matches!(
        first_standing(&pool, now),
        TargetStanding::Ejected(_)
    ));
    assert_eq!(pool.take_standing_changes().len(), 1);
    assert!(pool.take_standing_changes().is_empty());
    assert_eq!(send_calls(&mut pool, &mut now, 40, all_answer), 0);
    // Longer than the longest ejection.
    now += Duration::from_secs(61);
    pool.pick(query(), now);
    assert!(matches!(
        first_standing(&pool, now),
        TargetStanding::SlowStart(_)
    ));
    // Three targets with 4 slots each, and a small share of the returning one.
    assert!(pool.usable_capacity(now) < 14);
    for _ in 0..40 {
        let pick = pool.pick(query(), now).expect("there are targets");
        pool.record_start(&pick.target, now);
    }
    assert_eq!(pool.status(now)[0].in_flight, 1);
    for row in pool.status(now) {
        for _ in 0..row.in_flight {
            pool.record_end(&row.target, SERVICE_TIME, CallOutcome::Answered, None, now);
        }
    }
    send_calls(&mut pool, &mut now, 200, all_answer);
    assert_eq!(first_standing(&pool, now), TargetStanding::Usable);
    let calls = send_calls(&mut pool, &mut now, 400, all_answer);
    assert!((50..=150).contains(&calls), "{calls} of 400 calls among 4");
}

/// If all targets fail, ejecting all of them would leave no target to send calls to.
#[test]
fn a_pool_in_which_all_targets_fail_ejects_at_most_its_share() {
    let mut now = Instant::now();
    let mut pool = pool_of(10, now);
    let all_fail = |_: &str| (CallOutcome::Failed, Duration::from_millis(1));
    send_calls(&mut pool, &mut now, 1_000, all_fail);
    let status = pool.status(now);
    let is_ejected =
        |row: &&route::TargetStatus| matches!(row.standing, TargetStanding::Ejected(_));
    assert!(status.iter().filter(is_ejected).count() <= 3);
    assert!(pool.expected_service_time(now) <= 2 * SERVICE_TIME);
}

/// The busy time of a running call counts before the call has ended, which could make the pool look
/// slower than it is.
#[test]
fn running_calls_do_not_raise_the_expected_service_time_above_their_duration() {
    let service_time = Duration::from_secs(2);
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
            assert!(pool.expected_service_time(now) <= service_time);
        }
        for target in calls {
            pool.record_end(&target, service_time, CallOutcome::Answered, None, now);
        }
        assert!(pool.expected_service_time(now) <= service_time);
    }
}

/// If entries disagreed on the owner of a prefix, several targets would read it. If calls stayed
/// with a busy owner, it would be overloaded.
#[test]
fn a_prefix_stays_with_its_owner_until_the_owner_is_busy() {
    let now = Instant::now();
    let mut pool = pool_of(8, now);
    // The pool of another entry, with another seed.
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
fn the_local_data_centre_is_preferred_until_its_targets_are_busier() {
    let now = Instant::now();
    let mut pool = TargetPool::new(PoolSettings::default(), 5);
    let mut remote = spec(0);
    remote.data_centre = String::from("south");
    pool.set_targets([remote, spec(1)], now);
    for _ in 0..20 {
        assert_eq!(pool.pick(query(), now).unwrap().target, "t1");
    }
    for _ in 0..4 {
        pool.record_start("t1", now);
    }
    assert_eq!(pool.pick(query(), now).unwrap().target, "t0");
}

/// A target that is removed and listed again while it runs a call must not lose the count of that
/// call.
#[test]
fn calls_of_a_removed_target_are_still_counted() {
    let now = Instant::now();
    let mut pool = pool_of(2, now);
    pool.record_start("t0", now);
    pool.set_targets([spec(1)], now);
    assert_eq!(pool.pick(query(), now).unwrap().target, "t1");
    pool.set_targets([spec(0), spec(1)], now);
    assert_eq!(pool.status(now)[0].in_flight, 1);
    pool.record_end("t0", SERVICE_TIME, CallOutcome::Answered, None, now);
    assert_eq!(pool.status(now)[0].in_flight, 0);
}

/// The time in which this process is paused must not count as service time of the calls in flight,
/// or healthy targets would look slow.
#[test]
fn a_pause_of_this_process_ejects_no_target() {
    let mut now = Instant::now();
    let mut pool = pool_of(6, now);
    send_calls(&mut pool, &mut now, 200, all_answer);
    for _ in 0..6 {
        pool.record_start("t0", now);
    }
    now += Duration::from_secs(30);
    pool.skip_pause(now);
    pool.pick(query(), now);
    assert_eq!(first_standing(&pool, now), TargetStanding::Usable);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn picks_skip_tried_and_leaving_targets_and_ejections_stay_bounded(
        targets in 1_usize..12,
        choices in prop::sample::select(vec![0, 1, 3, usize::MAX]),
        leaving in prop::collection::vec(any::<bool>(), 12),
        steps in prop::collection::vec((0_u8..6, 0_u64..3_000, any::<bool>()), 1..200),
    ) {
        let mut now = Instant::now();
        let settings = PoolSettings { choices, ..PoolSettings::default() };
        let mut pool = TargetPool::new(settings, 5);
        let rows = (0..targets)
            .map(|number| TargetSpec { leaving: leaving[number], ..spec(number) });
        pool.set_targets(rows, now);
        let staying: Vec<String> = (0..targets)
            .filter(|&number| !leaving[number])
            .map(|number| format!("t{number}"))
            .collect();
        for (kind, elapsed_ms, excludes_first) in steps {
            let tried: Vec<String> =
                staying.first().filter(|_| excludes_first).cloned().into_iter().collect();
            let query = PickQuery { tried: &tried, ..query() };
            let pick = pool.pick(query, now);
            prop_assert_eq!(pick.is_some(), staying.len() > tried.len());
            let Some(pick) = pick else { continue };
            prop_assert!(staying.contains(&pick.target) && !tried.contains(&pick.target));
            pool.record_start(&pick.target, now);
            let elapsed = Duration::from_millis(elapsed_ms);
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
            let is_ejected =
                |row: &&route::TargetStatus| matches!(row.standing, TargetStanding::Ejected(_));
            let ejected = status.iter().filter(is_ejected).count();
            prop_assert!(ejected as f64 <= 0.34 * targets as f64);
            prop_assert!(status.iter().all(|row| row.in_flight == 0));
        }
    }
}
