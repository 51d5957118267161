//! Copies of one request on several entries go to the same few targets; many requests are still
//! drawn by the capacity of the targets.

use {
    route::{PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

const TARGETS: u32 = 6;
const REQUESTS: u64 = 6_000;

fn pool(
    settings: PoolSettings,
    seed: u64,
    capacity: impl Fn(u32) -> u32,
    now: Instant,
) -> TargetPool {
    let mut pool = TargetPool::new(settings, seed);
    let specs = (0..TARGETS).map(|number| TargetSpec {
        target: format!("t{number}"),
        address: format!("127.0.0.1:{}", 9_000 + number),
        data_centre: String::from("north"),
        capacity: capacity(number),
        leaving: false,
    });
    pool.set_targets(specs, now);
    pool
}

fn query(hash: u64) -> PickQuery<'static> {
    PickQuery {
        local_centre: "north",
        request_hash: Some(hash),
        ..PickQuery::default()
    }
}

#[test]
fn copies_on_entries_under_different_load_share_two_targets() {
    let now = Instant::now();
    let mut pools: Vec<TargetPool> = (0..4)
        .map(|seed| pool(PoolSettings::default(), seed, |_| 8, now))
        .collect();
    for (number, pool) in pools.iter_mut().enumerate() {
        for load in 0..=number {
            pool.record_start(&format!("t{load}"), now);
        }
    }
    for hash in 0..REQUESTS {
        let mut targets = BTreeSet::new();
        for pool in &mut pools {
            let first = pool.pick(query(hash), now).unwrap().target;
            let tried = [first.clone()];
            let again = PickQuery {
                tried: &tried,
                prefix_hash: Some(hash),
                ..query(hash)
            };
            targets.insert(first);
            targets.insert(pool.pick(again, now).unwrap().target);
        }
        assert_eq!(targets.len(), 2, "{targets:?}");
    }
}

#[test]
fn many_requests_are_drawn_by_capacity() {
    let now = Instant::now();
    let settings = PoolSettings {
        choices: 1,
        ..PoolSettings::default()
    };
    let mut pool = pool(settings, 1, |number| 4 + 4 * (number % 2), now);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for hash in 0..REQUESTS {
        let target = pool.pick(query(hash), now).unwrap().target;
        *counts.entry(target).or_default() += 1;
    }
    let unit = REQUESTS as f64 / f64::from(4 * 3 + 8 * 3);
    for number in 0..TARGETS {
        let expected = unit * f64::from(4 + 4 * (number % 2));
        let share = counts[&format!("t{number}")] as f64 / expected;
        assert!((0.85..1.15).contains(&share), "{counts:?}");
    }
}
