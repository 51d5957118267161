//! Many keepers in one process: they converge on the newest sheet and none goes back.

mod common;
#[path = "common/sheet_sim.rs"]
mod sheet_sim;

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sheet_sim::SheetSim,
    std::time::Duration,
};

/// No node is behind.
const NOBODY: [usize; 0] = [];
/// Time in which a published sheet is in force on every daemon that can be reached.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Reads that the daemons of three data centres may make of one sheet: a few watchers each, twice.
const READS_PER_SHEET: u64 = 12;

/// One random fault, or the end of all of them.
fn disturb(sim: &mut SheetSim, rng: &mut ChaCha8Rng) {
    let nodes = sim.nodes.len();
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..9) {
        0 => sim.publish(true),
        1 => sim.publish(false),
        2 => sim.stale_versions = rng.random_range(0..3),
        3 => sim.service_down = rng.random_bool(0.5),
        4 => sim.isolated_nodes = (0..nodes).filter(|_| rng.random_bool(0.3)).collect(),
        5 => sim.isolated_nodes.clear(),
        6 => sim.pause(node, Duration::from_millis(rng.random_range(100..8_000))),
        7 => sim.replace(node),
        _ => sim.loss_share = rng.random_range(0.0..0.4),
    }
}

fn settle(sim: &mut SheetSim) {
    sim.isolated_nodes.clear();
    sim.service_down = false;
    sim.stale_versions = 0;
    sim.loss_share = 0.05;
    for node in 0..sim.nodes.len() {
        sim.pause(node, Duration::ZERO);
    }
    sim.publish(true);
    sim.run(IN_FORCE_LIMIT);
    let version = sim.published.last().unwrap().index.version;
    assert_eq!(
        sim.nodes_behind(version),
        NOBODY,
        "not on {version} in time"
    );
}

#[test]
fn all_keepers_converge_after_any_faults_and_none_goes_back() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = rng.random_range(2..=60);
        let mut sim = SheetSim::new(nodes, seed);
        sim.publish(true);
        for _ in 0..60 {
            disturb(&mut sim, &mut rng);
            sim.run(Duration::from_millis(rng.random_range(50..1_500)));
        }
        settle(&mut sim);
    }
}

#[test]
fn a_sheet_spreads_with_few_reads_at_the_service() {
    let mut sim = SheetSim::new(60, 1);
    sim.publish(true);
    sim.run(IN_FORCE_LIMIT);
    assert_eq!(sim.nodes_behind(1), NOBODY);
    sim.service_reads = 0;
    sim.publish(true);
    sim.run(IN_FORCE_LIMIT);
    assert_eq!(sim.nodes_behind(2), NOBODY);
    assert!(
        sim.service_reads <= READS_PER_SHEET,
        "{}",
        sim.service_reads
    );
}

#[test]
fn daemons_replaced_while_the_service_is_stale_take_the_sheet_of_their_peers() {
    for seed in 0..10 {
        let mut sim = SheetSim::new(12, seed);
        for _ in 0..5 {
            sim.publish(true);
        }
        sim.run(IN_FORCE_LIMIT);
        assert_eq!(sim.nodes_behind(5), NOBODY);
        sim.stale_versions = 2;
        sim.loss_share = 0.2;
        for node in 0..12 {
            sim.replace(node);
            for _ in 0..50 {
                sim.run(Duration::from_millis(100));
                let version = sim.nodes[node].updater.version();
                assert!(
                    [0, 5].contains(&version),
                    "seed {seed}: old sheet {version}"
                );
            }
            assert_eq!(sim.nodes_behind(5), NOBODY, "seed {seed}");
        }
    }
}

#[test]
fn a_fleet_replaced_whole_waits_for_the_sheet_that_callers_have_met() {
    let mut sim = SheetSim::new(8, 3);
    for _ in 0..4 {
        sim.publish(true);
    }
    sim.stale_versions = 1;
    for node in 0..8 {
        sim.replace(node);
        sim.tell(node, sheet::SheetEvent::SeenVersion { version: 4 });
    }
    sim.run(IN_FORCE_LIMIT * 4);
    assert!(sim.nodes.iter().all(|node| !node.updater.is_ready()));
    assert!(sim.nodes.iter().all(|node| node.updater.version() == 0));
    sim.stale_versions = 0;
    sim.run(IN_FORCE_LIMIT);
    assert_eq!(sim.nodes_behind(4), NOBODY);
}

#[test]
fn a_part_that_is_cut_off_keeps_its_sheet_and_catches_up() {
    let mut sim = SheetSim::new(20, 4);
    sim.publish(true);
    sim.run(IN_FORCE_LIMIT);
    sim.isolated_nodes = (0..7).collect();
    sim.service_down = true;
    sim.publish(true);
    sim.run(IN_FORCE_LIMIT);
    assert!(sim.nodes.iter().all(|node| node.updater.is_ready()));
    settle(&mut sim);
}
