//! Measures the processor time of one pick with its accounting, by number of targets.

use {
    route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::time::{Duration, Instant},
};

/// Picks measured for each number of targets.
const CALLS: u32 = 100_000;
/// Simulated time that passes with each call.
const CALL_GAP: Duration = Duration::from_millis(10);

fn main() {
    for targets in [10, 50, 200, 600] {
        let mut now = Instant::now();
        let mut pool = TargetPool::new(PoolSettings::default(), 1);
        let rows = (0..targets).map(|number| TargetSpec {
            target: format!("target-{number}"),
            address: format!("127.0.0.1:{number}"),
            data_centre: String::from("north"),
            capacity: 8,
            leaving: false,
        });
        pool.set_targets(rows, now);
        let begun = Instant::now();
        for call in 0..CALLS {
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
        println!("{targets} targets: {:?} a call", begun.elapsed() / CALLS);
    }
}
