use {
    crate::{MEMBERS, TARGETS, mean_micros, print_figure, print_heading},
    order::TargetOwnership,
    route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::time::{Duration, Instant},
};

/// Time between two picks, and duration of each call.
const CALL_TIME: Duration = Duration::from_millis(10);

/// Prints the cost of picking a target and of finding a target's owner.
pub fn print() {
    print_heading("Target pool", &TARGETS);
    let points = TARGETS.map(|targets| (targets as f64, pick_micros(targets)));
    print_figure("µs of a call's pick and accounting", "targets", &points);
    print_heading("Owner of a target", &MEMBERS);
    let points = MEMBERS.map(|hosts| (hosts as f64, owner_micros(hosts)));
    print_figure("µs to find one target's owner", "entries", &points);
    let points = MEMBERS.map(|hosts| (hosts as f64, most_owned(hosts)));
    print_figure("of 600 targets, most at one host", "entries", &points);
}

/// Returns a pool with this number of targets.
pub fn filled_pool(targets: usize) -> TargetPool {
    let mut pool = TargetPool::new(PoolSettings::default(), 1);
    let specs = (0..targets).map(|number| TargetSpec {
        target: format!("target-{number:03}"),
        address: format!("10.0.0.1:{number}"),
        data_centre: format!("dc-{}", number % 8),
        capacity: 8,
        leaving: false,
    });
    pool.set_targets(specs, Instant::now());
    pool
}

fn pick_micros(targets: usize) -> f64 {
    let mut pool = filled_pool(targets);
    let mut now = Instant::now();
    mean_micros(20_000, |call| {
        let query = PickQuery {
            prefix_hash: Some(u64::from(call % 100)),
            ..PickQuery::default()
        };
        let pick = pool.pick(query, now).expect("there are targets");
        pool.record_start(&pick.target, now);
        now += CALL_TIME;
        pool.record_end(
            &pick.target,
            CALL_TIME,
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
    mean_micros(2_000, |number| {
        assert!(ownership.owner_of(&format!("target-{number:03}")).is_some());
    })
}

/// Returns the number of targets, of 600, that the host with the most of them owns.
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
