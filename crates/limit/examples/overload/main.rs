//! Compares admission policies in a seeded, single-threaded event simulation: one entry sends
//! requests to one pool, with one customer that floods it and three that stay within their share.

mod overload_sim;

use overload_sim::{EntryPolicy, OverloadSim, RunFigures};

/// Number of runs of each case, with seeds from 1.
const SEEDS: u64 = 11;
/// Arrival rates as a share of the pool's capacity.
const LOADS: [f64; 4] = [0.8, 1.2, 2.0, 4.0];

const POLICIES: [(EntryPolicy, &str); 4] = [
    (EntryPolicy::Open, "no limit"),
    (EntryPolicy::FixedLimit, "fixed limit, one queue"),
    (EntryPolicy::Fair, "adaptive limit, fair queue"),
    (EntryPolicy::FairGate, "the same and gate"),
];

/// Returns the median and the range of a figure in per cent.
fn spread(runs: &[RunFigures], figure: impl Fn(&RunFigures) -> f64) -> String {
    let mut values: Vec<f64> = runs.iter().map(|run| 100.0 * figure(run)).collect();
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    format!(
        "{:.1} ({:.1}-{:.1})",
        values[last / 2],
        values[0],
        values[last]
    )
}

fn main() {
    for load in LOADS {
        println!("load {load} of capacity; median (range) of {SEEDS} seeds");
        println!(
            "policy | attainment % | of the small customers % | of urgent requests % | target time wasted %"
        );
        for (policy, name) in POLICIES {
            let runs: Vec<RunFigures> = (1..=SEEDS)
                .map(|seed| OverloadSim::new(policy, load, seed).run())
                .collect();
            let all = spread(&runs, |run| run.all);
            let small = spread(&runs, |run| run.small);
            let urgent = spread(&runs, |run| run.urgent);
            let wasted = spread(&runs, |run| run.wasted);
            println!("{name:<27} | {all} | {small} | {urgent} | {wasted}");
        }
        println!();
    }
}
