//! Guards against a fleet that stays split between sheets or returns to an older one. That can come
//! about when daemons restart, messages are lost and the configuration service is down or stale.

mod common;
#[path = "common/sheet_sim.rs"]
mod sheet_sim;

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sheet_sim::SheetSim,
    std::time::Duration,
};

/// Expected result of `nodes_behind` once all nodes have caught up.
const NO_NODES: [usize; 0] = [];
/// Time within which a published sheet is in force on every reachable daemon.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of the reads of one sheet at the service: a few watchers in each of the three data centres
/// read it, each up to twice.
const MAX_READS_PER_SHEET: u64 = 12;

/// Publishes a sheet, or starts or ends a random fault.
fn apply_random_fault(sim: &mut SheetSim, rng: &mut ChaCha8Rng) {
    let node_count = sim.nodes.len();
    let node = rng.random_range(0..node_count);
    match rng.random_range(0..9) {
        0 => sim.publish(true),
        1 => sim.publish(false),
        2 => sim.stale_versions = rng.random_range(0..3),
        3 => sim.service_down = rng.random_bool(0.5),
        4 => sim.isolated_nodes = (0..node_count).filter(|_| rng.random_bool(0.3)).collect(),
        5 => sim.isolated_nodes.clear(),
        6 => sim.pause(node, Duration::from_millis(rng.random_range(100..8_000))),
        7 => sim.replace(node),
        _ => sim.loss_share = rng.random_range(0.0..0.4),
    }
}

/// Ends all faults but a small loss, publishes a sheet and checks that it reaches every node in
/// time.
fn check_convergence(sim: &mut SheetSim) {
    sim.isolated_nodes.clear();
    sim.service_down = false;
    sim.stale_versions = 0;
    sim.loss_share = 0.05;
    for node in 0..sim.nodes.len() {
        // Ends a pause that may last still.
        sim.pause(node, Duration::ZERO);
    }
    sim.publish(true);
    sim.run(CONVERGENCE_TIMEOUT);
    let version = sim.published.last().unwrap().index.version;
    assert_eq!(
        sim.nodes_behind(version),
        NO_NODES,
        "not on version {version} in time"
    );
}

#[test]
fn all_nodes_converge_after_random_faults_and_none_goes_back() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node_count = rng.random_range(2..=60);
        let mut sim = SheetSim::new(node_count, seed);
        sim.publish(true);
        for _ in 0..60 {
            apply_random_fault(&mut sim, &mut rng);
            sim.run(Duration::from_millis(rng.random_range(50..1_500)));
        }
        check_convergence(&mut sim);
    }
}

/// Guards against a sheet that every daemon reads from the service instead of from its peers.
#[test]
fn sheet_spreads_with_few_reads_at_the_service() {
    let mut sim = SheetSim::new(60, 1);
    sim.publish(true);
    sim.run(CONVERGENCE_TIMEOUT);
    assert_eq!(sim.nodes_behind(1), NO_NODES);
    sim.service_reads = 0;
    sim.publish(true);
    sim.run(CONVERGENCE_TIMEOUT);
    assert_eq!(sim.nodes_behind(2), NO_NODES);
    assert!(
        sim.service_reads <= MAX_READS_PER_SHEET,
        "{}",
        sim.service_reads
    );
}

#[test]
fn daemons_replaced_while_the_service_is_stale_get_the_sheet_from_peers() {
    for seed in 0..10 {
        let mut sim = SheetSim::new(12, seed);
        for _ in 0..5 {
            sim.publish(true);
        }
        sim.run(CONVERGENCE_TIMEOUT);
        assert_eq!(sim.nodes_behind(5), NO_NODES);
        sim.stale_versions = 2;
        sim.loss_share = 0.2;
        for node in 0..12 {
            sim.replace(node);
            for _ in 0..50 {
                sim.run(Duration::from_millis(100));
                let version = sim.nodes[node].updater.version();
                assert!(
                    [0, 5].contains(&version),
                    "seed {seed}: old sheet {version} in force"
                );
            }
            assert_eq!(sim.nodes_behind(5), NO_NODES, "seed {seed}");
        }
    }
}

/// Guards against a fleet that starts anew, without any peer that has the latest sheet, and relies
/// on a stale configuration service.
#[test]
fn fully_replaced_fleet_waits_for_the_version_that_callers_proved() {
    let mut sim = SheetSim::new(8, 3);
    for _ in 0..4 {
        sim.publish(true);
    }
    sim.stale_versions = 1;
    for node in 0..8 {
        sim.replace(node);
        sim.deliver(node, sheet::SheetEvent::SeenVersion { version: 4 });
    }
    sim.run(CONVERGENCE_TIMEOUT * 4);
    assert!(sim.nodes.iter().all(|node| !node.updater.is_ready()));
    assert!(sim.nodes.iter().all(|node| node.updater.version() == 0));
    sim.stale_versions = 0;
    sim.run(CONVERGENCE_TIMEOUT);
    assert_eq!(sim.nodes_behind(4), NO_NODES);
}

#[test]
fn isolated_nodes_keep_their_sheet_and_catch_up() {
    let mut sim = SheetSim::new(20, 4);
    sim.publish(true);
    sim.run(CONVERGENCE_TIMEOUT);
    sim.isolated_nodes = (0..7).collect();
    sim.service_down = true;
    sim.publish(true);
    sim.run(CONVERGENCE_TIMEOUT);
    assert!(sim.nodes.iter().all(|node| node.updater.is_ready()));
    check_convergence(&mut sim);
}
