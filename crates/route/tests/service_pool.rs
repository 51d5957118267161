//! Which target a whole request goes to.

use {
    plan::{EngineSpec, ServiceSpec, TargetRow},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    route::{PromptPart, ServiceEnd, ServicePick, ServicePool, ServiceQuery, chain_keys},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

fn pool(targets: usize, engine: bool) -> ServicePool {
    let spec = ServiceSpec {
        name: String::from("s"),
        engine: engine.then_some(EngineSpec {
            slots: 64,
            cache_tokens: 360_000,
            fetch_time: Some(Duration::from_micros(13)),
        }),
        pieces: None,
    };
    let rows: BTreeMap<String, TargetRow> = (0..targets)
        .map(|number| {
            let row = TargetRow {
                service: String::from("s"),
                address: format!("10.0.0.{number}:80").parse().unwrap(),
                data_centre: String::from(if number % 2 == 0 { "a" } else { "b" }),
                slots: 6,
                leaving: number == 0 && targets > 3,
                started_ms: 0,
            };
            (format!("t{number}"), row)
        })
        .collect();
    let mut pool = ServicePool::new();
    pool.set_targets(&spec, &rows);
    pool
}

fn chain(parts: &[(&str, u32)]) -> Vec<(u64, u32)> {
    let parts: Vec<PromptPart> = parts
        .iter()
        .map(|(id, tokens)| PromptPart {
            id: id.to_string(),
            tokens: *tokens,
        })
        .collect();
    chain_keys(&parts)
}

fn pick(pool: &ServicePool, chain: &[(u64, u32)], tried: &[String], seed: u64) -> ServicePick {
    let query = ServiceQuery {
        chain,
        tried,
        data_centre: "a",
        inputs: &BTreeMap::new(),
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    pool.pick(query, Instant::now(), &mut random).unwrap()
}

#[test]
fn leaving_and_tried_targets_are_left_out() {
    let pool = pool(4, false);
    for seed in 0..50 {
        let first = pick(&pool, &[], &[], seed);
        assert_ne!(first.target, "t0");
        let second = pick(&pool, &[], std::slice::from_ref(&first.target), seed);
        assert_ne!(second.target, first.target);
    }
}

#[test]
fn prompts_with_the_same_beginning_meet_on_all_entries() {
    let (one, other) = (pool(9, true), pool(9, true));
    let mut met = 0;
    for number in 0..40 {
        let session = format!("session-{number}");
        let first = chain(&[("system", 2_500), (&session, 3_800), ("own-1", 900)]);
        let second = chain(&[("system", 2_500), (&session, 3_800), ("own-2", 900)]);
        let here = pick(&one, &first, &[], 1);
        let there = pick(&other, &second, &[], 2);
        met += u32::from(here.target == there.target);
    }
    assert!(met >= 38, "{met} of 40 met");
}

#[test]
fn a_busy_home_gives_way() {
    let mut pool = pool(9, true);
    let prompt = chain(&[("system", 200), ("session", 300), ("own", 100)]);
    let home = pick(&pool, &prompt, &[], 1);
    let long = chain(&[("long", 90_000), ("x", 5), ("y", 5)]);
    let busy = ServicePick {
        unread: 90_010,
        ..home.clone()
    };
    pool.begin(&busy, &long, Instant::now());
    assert_ne!(pick(&pool, &prompt, &[], 1).target, home.target);
}

/// A burst on one session: the home is full, and the others do not read its parts again.
#[test]
fn parts_are_fetched_from_a_home_that_is_busy() {
    let mut pool = pool(9, true);
    let now = Instant::now();
    let prompt = |own: &str| chain(&[("system", 2_500), ("session", 3_800), (own, 900)]);
    let home = pick(&pool, &prompt("own"), &[], 1);
    assert_eq!(home.fetch_from, None);
    let mut fetching = 0;
    for number in 0..30 {
        let prompt = prompt(&format!("own-{number}"));
        let pick = pick(&pool, &prompt, &[], number);
        if pick.target != home.target {
            assert_eq!(pick.unread, 900, "shared parts were read again");
            let source = pick.fetch_from.is_none_or(|source| source == home.address);
            assert!(source, "{:?}", pick.fetch_from);
            fetching += u32::from(pick.fetch_from.is_some());
        }
        pool.begin(&pick, &prompt, now);
    }
    assert!((1..9).contains(&fetching), "{fetching} targets fetched");
}

#[test]
fn short_parts_are_not_fetched() {
    let pool = pool(9, true);
    let prompt = chain(&[("system", 200), ("session", 200), ("own", 100)]);
    let home = pick(&pool, &prompt, &[], 1);
    let other = pick(&pool, &prompt, &[home.target], 1);
    assert_eq!((other.fetch_from, other.unread), (None, 500));
}

#[test]
fn a_target_that_was_lost_is_left_alone_for_a_while() {
    let mut pool = pool(3, false);
    let now = Instant::now();
    let lost = pick(&pool, &[], &[], 1);
    pool.begin(&lost, &[], now);
    pool.finish(&lost, ServiceEnd::Lost, false, Duration::ZERO, now);
    for seed in 0..50 {
        assert_ne!(pick(&pool, &[], &[], seed).target, lost.target);
    }
}

#[test]
fn a_target_that_fails_part_of_its_calls_gets_few() {
    let mut pool = pool(3, false);
    let mut bad = 0;
    for seed in 0..300 {
        let now = Instant::now();
        let pick = pick(&pool, &[], &[], seed);
        pool.begin(&pick, &[], now);
        let failing = pick.target == "t1" && seed % 2 == 0;
        bad += u32::from(pick.target == "t1");
        let end = if failing {
            ServiceEnd::Failed
        } else {
            ServiceEnd::Answered
        };
        pool.finish(&pick, end, true, Duration::from_millis(50), now);
    }
    assert!(bad < 60, "{bad} of 300 went to the failing target");
}

#[test]
fn work_of_peers_counts() {
    let mut pool = pool(3, false);
    let first = pick(&pool, &[], &[], 1);
    let work = HashMap::from([(
        route::id_hash(&first.target),
        route::TargetWork {
            running: 30,
            unread: 0,
        },
    )]);
    pool.set_peer_work(&work);
    for seed in 0..20 {
        assert_ne!(pick(&pool, &[], &[], seed).target, first.target);
    }
}
