//! Copies of one request on several entries go to the same two targets, so that a request which
//! crashes its targets can't take down the whole pool. Over many requests the targets are still
//! drawn in proportion to their capacity.

use {
    route::{PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

const TARGET_COUNT: u32 = 6;
const REQUEST_COUNT: u64 = 6_000;

fn pool_of(
    settings: PoolSettings,
    seed: u64,
    capacity: impl Fn(u32) -> u32,
    now: Instant,
) -> TargetPool {
    let mut pool = TargetPool::new(settings, seed);
    let specs = (0..TARGET_COUNT).map(|number| TargetSpec {
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
fn copies_on_entries_with_different_load_go_to_the_same_two_targets() {
    let now = Instant::now();
    let mut pools: Vec<TargetPool> = (0..4)
        .map(|seed| pool_of(PoolSettings::default(), seed, |_| 8, now))
        .collect();
    for (pool_number, pool) in pools.iter_mut().enumerate() {
        for target_number in 0..=pool_number {
            pool.record_start(&format!("t{target_number}"), now);
        }
    }
    for hash in 0..REQUEST_COUNT {
        let mut targets = BTreeSet::new();
        for pool in &mut pools {
            let first = pool.pick(query(hash), now).unwrap().target;
            let tried = [first.clone()];
            let retry = PickQuery {
                tried: &tried,
                prefix_hash: Some(hash),
                ..query(hash)
            };
            targets.insert(first);
            targets.insert(pool.pick(retry, now).unwrap().target);
        }
        assert_eq!(targets.len(), 2, "{targets:?}");
    }
}

#[test]
fn requests_are_spread_in_proportion_to_target_capacity() {
    let now = Instant::now();
    let settings = PoolSettings {
        choices: 1,
        ..PoolSettings::default()
    };
    let mut pool = pool_of(settings, 1, |number| 4 + 4 * (number % 2), now);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for hash in 0..REQUEST_COUNT {
        let target = pool.pick(query(hash), now).unwrap().target;
        *counts.entry(target).or_default() += 1;
    }
    // Three targets have 4 slots and three have 8.
    let requests_per_slot = REQUEST_COUNT as f64 / f64::from(4 * 3 + 8 * 3);
    for number in 0..TARGET_COUNT {
        let expected = requests_per_slot * f64::from(4 + 4 * (number % 2));
        let ratio = counts[&format!("t{number}")] as f64 / expected;
        assert!((0.85..1.15).contains(&ratio), "{counts:?}");
    }
}
