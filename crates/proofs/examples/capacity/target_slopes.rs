use {
    crate::{MEMBERS, TARGETS, head, show, time_each},
    order::TargetOwnership,
    route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::time::{Duration, Instant},
};

const CALL_GAP: Duration = Duration::from_millis(10);

/// Picks of targets and their owners.
pub fn print() {
    head("Target pool", &TARGETS);
    let points = TARGETS.map(|targets| (targets as f64, pick_micros(targets)));
    show("µs of a call's pick and accounting", "targets", &points);
    head("Owner of a target", &MEMBERS);
    let points = MEMBERS.map(|hosts| (hosts as f64, owner_micros(hosts)));
    show("µs to find one target's owner", "entries", &points);
    let points = MEMBERS.map(|hosts| (hosts as f64, most_owned(hosts)));
    show("of 600 targets, most at one host", "entries", &points);
}

/// Pool of so many targets.
pub fn pool(targets: usize) -> TargetPool {
    let mut pool = TargetPool::new(PoolSettings::default(), 1);
    let rows = (0..targets).map(|place| TargetSpec {
        target: format!("target-{place:03}"),
        address: format!("10.0.0.1:{place}"),
        data_centre: format!("dc-{}", place % 8),
        capacity: 8,
        leaving: false,
    });
    pool.set_targets(rows, Instant::now());
    pool
}

fn pick_micros(targets: usize) -> f64 {
    let mut pool = pool(targets);
    let mut now = Instant::now();
    time_each(20_000, |call| {
        let query = PickQuery {
            prefix_hash: Some(u64::from(call % 100)),
            ..PickQuery::default()
        };
        let pick = pool.pick(query, now).expect("there are targets");
        pool.record_start(&pick.target, now);
        now += CALL_GAP;
        pool.record_end(
            &pick.target,
            CALL_GAP,
            CallOutcome::Answered,
            Some(0.5),
            now,
        );
    })
}

fn ownership(hosts: usize) -> TargetOwnership {
    TargetOwnership::new((0..hosts).map(|host| format!("entry-{host:03}")).collect())
}

fn owner_micros(hosts: usize) -> f64 {
    let ownership = ownership(hosts);
    time_each(2_000, |number| {
        assert!(ownership.owner_of(&format!("target-{number:03}")).is_some());
    })
}

fn most_owned(hosts: usize) -> f64 {
    let ownership = ownership(hosts);
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..600 {
        *counts
            .entry(ownership.owner_of(&format!("target-{number:03}")).cloned())
            .or_insert(0_u32) += 1;
    }
    f64::from(counts.into_values().max().unwrap_or(0))
}
