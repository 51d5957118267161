//! Compares policies for choosing a target in a seeded, single-threaded event simulation: several
//! entries send calls to one pool with targets of unequal speed, a straggler and a target that
//! fails fast.

mod entry_view;
mod pool_sim;
mod run_plan;
mod sim_target;

use {
    entry_view::PickPolicy,
    pool_sim::PoolSim,
    run_plan::{RunFigures, RunPlan},
    std::time::Duration,
};

/// Number of runs of each case, with seeds from 1.
const SEEDS: u64 = 11;
/// Calls that a target runs at once.
const TARGET_CAPACITY: u32 = 4;

const POLICIES: [(PickPolicy, &str); 7] = [
    (PickPolicy::Random, "random"),
    (PickPolicy::LeastInFlight, "least in flight"),
    (PickPolicy::TwoChoices, "two choices"),
    (PickPolicy::PoolWithoutEjection, "two choices + speed"),
    (PickPolicy::Pool(2), "two choices + speed + ejection"),
    (PickPolicy::Pool(3), "three choices, same"),
    (PickPolicy::Pool(usize::MAX), "all targets, same"),
];

/// Returns the median, the minimum and the maximum of the values.
fn spread<T: Copy + PartialOrd>(mut values: Vec<T>) -> (T, T, T) {
    values.sort_by(|left, right| left.partial_cmp(right).expect("figures compare"));
    let last = values.len() - 1;
    (values[last / 2], values[0], values[last])
}

fn print_row(name: &str, runs: &[RunFigures]) {
    let of = |figure: fn(&RunFigures) -> f64| spread(runs.iter().map(figure).collect());
    let (attained, attained_min, attained_max) = of(|run| run.attainment * 100.0);
    let (failed, failed_min, failed_max) = of(|run| run.failed * 100.0);
    let (p50, p50_min, p50_max) = of(|run| run.p50.as_secs_f64() * 1e3);
    let (p99, p99_min, p99_max) = of(|run| run.p99.as_secs_f64() * 1e3);
    println!(
        "{name:<30} | {attained:.2} ({attained_min:.2}-{attained_max:.2}) | {failed:.2} \
         ({failed_min:.2}-{failed_max:.2}) | {p50:.0} ({p50_min:.0}-{p50_max:.0}) | {p99:.0} \
         ({p99_min:.0}-{p99_max:.0})"
    );
}

fn print_table(title: &str, plan: RunPlan) {
    println!(
        "{title}: {} targets, {} entries, load {}, load reports {:?} old; median (range) of \
         {SEEDS} seeds",
        plan.targets, plan.entries, plan.load, plan.report_lag
    );
    println!("policy | attainment % | failed calls % of requests | p50 ms | p99 ms");
    for (policy, name) in POLICIES {
        print_row(name, &run_seeds(policy, plan));
    }
    println!();
}

fn print_hedges(size: &str, plan: RunPlan) {
    println!("{size}, hedges with three choices: attainment % | hedges % of requests | p99 ms");
    for (fault, pauses, straggler) in [
        ("no fault", false, false),
        ("straggler", false, true),
        ("pauses", true, false),
    ] {
        for hedge in [false, true] {
            let plan = RunPlan {
                pauses,
                straggler,
                hedge,
                ..plan
            };
            let runs = run_seeds(PickPolicy::Pool(3), plan);
            let of = |figure: fn(&RunFigures) -> f64| spread(runs.iter().map(figure).collect());
            let (attained, attained_min, attained_max) = of(|run| run.attainment * 100.0);
            let (hedged, hedged_min, hedged_max) = of(|run| run.hedged * 100.0);
            let (p99, p99_min, p99_max) = of(|run| run.p99.as_secs_f64() * 1e3);
            println!(
                "{fault:<9} hedge {hedge:<5} | {attained:.2} ({attained_min:.2}-{attained_max:.2}) | \
                 {hedged:.2} ({hedged_min:.2}-{hedged_max:.2}) | {p99:.0} \
                 ({p99_min:.0}-{p99_max:.0})"
            );
        }
    }
    println!();
}

fn run_seeds(policy: PickPolicy, plan: RunPlan) -> Vec<RunFigures> {
    (1..=SEEDS)
        .map(|seed| PoolSim::new(policy, plan, seed).run())
        .collect()
}

fn main() {
    let large = RunPlan {
        targets: 12,
        entries: 40,
        load: 0.8,
        retries: 1,
        report_lag: Duration::from_secs(1),
        straggler: false,
        failing: false,
        pauses: false,
        hedge: false,
    };
    let few_entries = RunPlan {
        entries: 4,
        report_lag: Duration::ZERO,
        ..large
    };
    let small = RunPlan {
        targets: 4,
        entries: 8,
        load: 0.3,
        ..large
    };
    for (size, plan) in [
        ("large", large),
        ("few entries", few_entries),
        ("small", small),
    ] {
        for (fault, straggler, failing, retries) in [
            ("no fault", false, false, 1),
            ("straggler", true, false, 1),
            ("fails fast, no retry", false, true, 0),
            ("straggler and fails fast, one retry", true, true, 1),
        ] {
            let plan = RunPlan {
                straggler,
                failing,
                retries,
                ..plan
            };
            print_table(&format!("{size}, {fault}"), plan);
        }
        print_hedges(size, plan);
    }
}
