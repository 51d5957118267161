//! Tests which target of a service a request goes to.

use {
    plan::{EngineSpec, ServiceSpec, TargetRow},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    route::{
        PromptPart, ServiceOutcome, ServicePick, ServicePool, ServiceQuery, VersionRule,
        prefix_keys,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Creates a pool whose targets alternate between the data centres `a` and `b`. In a pool of more
/// than three, `t0` is leaving.
fn pool_of(target_count: usize, has_engine: bool) -> ServicePool {
    let mut pool = ServicePool::new();
    set_targets(&mut pool, target_count, has_engine);
    pool
}

/// Lists this many targets in the pool; those that stay keep their measurements.
fn set_targets(pool: &mut ServicePool, target_count: usize, has_engine: bool) {
    let spec = ServiceSpec {
        name: String::from("s"),
        engine: has_engine.then_some(EngineSpec {
            slots: 64,
            cache_tokens: 360_000,
            fetch_time: Some(Duration::from_micros(13)),
        }),
        pieces: None,
    };
    let rows: BTreeMap<String, TargetRow> = (0..target_count)
        .map(|number| {
            let row = TargetRow {
                service: String::from("s"),
                address: format!("10.0.0.{number}:80").parse().unwrap(),
                data_centre: String::from(if number % 2 == 0 { "a" } else { "b" }),
                version: Some(String::from("v1")),
                slots: 6,
                leaving: number == 0 && target_count > 3,
                started_ms: 0,
            };
            (format!("t{number}"), row)
        })
        .collect();
    pool.set_targets(&spec, &rows);
}

/// Returns the prefix keys of a prompt, given by the id and number of tokens of each part.
fn prefixes_of(parts: &[(&str, u32)]) -> Vec<(u64, u32)> {
    let parts: Vec<PromptPart> = parts
        .iter()
        .map(|(id, tokens)| PromptPart {
            id: id.to_string(),
            tokens: *tokens,
        })
        .collect();
    prefix_keys(&parts)
}

fn pick(pool: &ServicePool, prefixes: &[(u64, u32)], tried: &[String], seed: u64) -> ServicePick {
    let query = ServiceQuery {
        prefixes,
        tried,
        data_centre: "a",
        inputs: &BTreeMap::new(),
        among: None,
        versions: &VersionRule::Any,
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    pool.pick(query, Instant::now(), &mut random).unwrap()
}

#[test]
fn leaving_and_tried_targets_are_not_picked() {
    let pool = pool_of(4, false);
    for seed in 0..50 {
        let first = pick(&pool, &[], &[], seed);
        assert_ne!(first.target, "t0");
        let second = pick(&pool, &[], std::slice::from_ref(&first.target), seed);
        assert_ne!(second.target, first.target);
    }
}

/// If entries sent prompts with a common prefix to different targets, each would read the prefix.
#[test]
fn all_entries_pick_the_same_target_for_prompts_with_a_common_prefix() {
    let (one, other) = (pool_of(9, true), pool_of(9, true));
    let mut same_count = 0;
    for number in 0..40 {
        let session = format!("session-{number}");
        let first = prefixes_of(&[("system", 2_500), (&session, 3_800), ("own-1", 900)]);
        let second = prefixes_of(&[("system", 2_500), (&session, 3_800), ("own-2", 900)]);
        let here = pick(&one, &first, &[], 1);
        let there = pick(&other, &second, &[], 2);
        same_count += u32::from(here.target == there.target);
    }
    assert!(
        same_count >= 38,
        "{same_count} of 40 prompts had the same target"
    );
}

#[test]
fn a_busy_prefix_owner_is_not_picked() {
    let mut pool = pool_of(9, true);
    let prompt = prefixes_of(&[("system", 200), ("session", 300), ("own", 100)]);
    let owner = pick(&pool, &prompt, &[], 1);
    let long_prompt = prefixes_of(&[("long", 90_000), ("x", 5), ("y", 5)]);
    let long_pick = ServicePick {
        unread_tokens: 90_010,
        ..owner.clone()
    };
    pool.record_start(&long_pick, &long_prompt, Instant::now());
    assert_ne!(pick(&pool, &prompt, &[], 1).target, owner.target);
}

/// Guards against a burst on one session in which other targets read the shared prefix again: once
/// the prefix owner is busy, they must fetch the prefix from it.
#[test]
fn shared_prefixes_are_fetched_from_a_busy_owner() {
    let mut pool = pool_of(9, true);
    let now = Instant::now();
    let prompt = |own: &str| prefixes_of(&[("system", 2_500), ("session", 3_800), (own, 900)]);
    let owner = pick(&pool, &prompt("own"), &[], 1);
    assert_eq!(owner.fetch_from, None);
    let mut fetch_count = 0;
    for number in 0..30 {
        let prompt = prompt(&format!("own-{number}"));
        let pick = pick(&pool, &prompt, &[], number);
        if pick.target != owner.target {
            assert_eq!(pick.unread_tokens, 900, "the shared prefix was read again");
            let is_from_owner = pick.fetch_from.is_none_or(|source| source == owner.address);
            assert!(is_from_owner, "{:?}", pick.fetch_from);
            fetch_count += u32::from(pick.fetch_from.is_some());
        }
        pool.record_start(&pick, &prompt, now);
    }
    assert!((1..9).contains(&fetch_count), "{fetch_count} picks fetched");
}

#[test]
fn short_prefixes_are_not_fetched() {
    let pool = pool_of(9, true);
    let prompt = prefixes_of(&[("system", 200), ("session", 200), ("own", 100)]);
    let owner = pick(&pool, &prompt, &[], 1);
    let other = pick(&pool, &prompt, &[owner.target], 1);
    assert_eq!((other.fetch_from, other.unread_tokens), (None, 500));
}

/// A target that was just lost would otherwise look idle and get the next calls.
#[test]
fn a_lost_target_is_not_picked_during_its_backoff() {
    let mut pool = pool_of(3, false);
    let now = Instant::now();
    let lost = pick(&pool, &[], &[], 1);
    pool.record_start(&lost, &[], now);
    pool.record_end(&lost, ServiceOutcome::Lost, false, Duration::ZERO, now);
    for seed in 0..50 {
        assert_ne!(pick(&pool, &[], &[], seed).target, lost.target);
    }
}

#[test]
fn a_target_that_fails_half_of_its_calls_gets_few() {
    let mut pool = pool_of(3, false);
    let mut to_failing = 0;
    for seed in 0..300 {
        let now = Instant::now();
        let pick = pick(&pool, &[], &[], seed);
        pool.record_start(&pick, &[], now);
        let fails = pick.target == "t1" && seed % 2 == 0;
        to_failing += u32::from(pick.target == "t1");
        let outcome = if fails {
            ServiceOutcome::Failed
        } else {
            ServiceOutcome::Answered
        };
        pool.record_end(&pick, outcome, true, Duration::from_millis(50), now);
    }
    assert!(
        to_failing < 60,
        "{to_failing} of 300 went to the failing target"
    );
}

/// Guards against targets that join a service of fast ones and are never tried.
#[test]
fn a_target_that_joins_fast_ones_gets_calls() {
    let mut pool = pool_of(2, false);
    let call_time = Duration::from_millis(6);
    for seed in 0..100 {
        let now = Instant::now();
        let pick = pick(&pool, &[], &[], seed);
        pool.record_start(&pick, &[], now);
        pool.record_end(&pick, ServiceOutcome::Answered, true, call_time, now);
    }
    set_targets(&mut pool, 3, false);
    // t2 is in the data centre of the entry, as t0 is.
    let to_new = (0..60).filter(|seed| {
        let pick = pick(&pool, &[], &[], *seed);
        pool.record_start(&pick, &[], Instant::now());
        pick.target == "t2"
    });
    let to_new = to_new.count();
    assert!(to_new >= 20, "{to_new} of 60 went to the new target");
}

/// If entries counted only their own work, all would send their requests to the same target.
#[test]
fn a_target_that_is_busy_for_peers_is_not_picked() {
    let mut pool = pool_of(3, false);
    let first = pick(&pool, &[], &[], 1);
    let work = HashMap::from([(
        route::id_hash(&first.target),
        route::TargetWork {
            running: 30,
            unread_tokens: 0,
        },
    )]);
    pool.set_peer_work(&work);
    for seed in 0..20 {
        assert_ne!(pick(&pool, &[], &[], seed).target, first.target);
    }
}

#[test]
fn prompts_of_any_length_are_placed() {
    let now = Instant::now();
    for has_engine in [true, false] {
        let mut pool = pool_of(3, has_engine);
        let prefixes = prefixes_of(&[("a", u32::MAX), ("b", u32::MAX), ("c", u32::MAX)]);
        for seed in 0..5 {
            let chosen = pick(&pool, &prefixes, &[], seed);
            pool.record_start(&chosen, &prefixes, now);
        }
        assert!(pool.min_answer_time(&prefixes, now) > Some(Duration::ZERO));
    }
}
