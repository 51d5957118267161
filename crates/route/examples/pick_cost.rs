//! Measures the time of one pick and of recording its call, for several numbers of targets.

use {
    route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::time::{Duration, Instant},
};

/// Number of picks measured for each number of targets.
const CALL_COUNT: u32 = 100_000;
/// Simulated time that passes with each call.
const CALL_GAP: Duration = Duration::from_millis(10);

fn main() {
    for target_count in [10, 50, 200, 600] {
        let mut now = Instant::now();
        let mut pool = TargetPool::new(PoolSettings::default(), 1);
        let rows = (0..target_count).map(|number| TargetSpec {
            target: format!("target-{number}"),
            address: format!("127.0.0.1:{number}"),
            data_centre: String::from("north"),
            capacity: 8,
            leaving: false,
        });
        pool.set_targets(rows, now);
        let started_at = Instant::now();
        for call in 0..CALL_COUNT {
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
        }
        println!(
            "{target_count} targets: {:?} a call",
            started_at.elapsed() / CALL_COUNT
        );
    }
}
