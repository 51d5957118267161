//! Many keepers in one process: they converge on the newest sheet and none goes back.

mod common;
#[path = "common/world.rs"]
mod world;

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
    world::World,
};

/// No node is behind.
const NOBODY: [usize; 0] = [];
/// Time in which a published sheet is in force on every daemon that can be reached.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Reads that the daemons of three data centres may make of one sheet: a few watchers each, twice.
const READS_PER_SHEET: u64 = 12;

/// One random fault, or the end of all of them.
fn disturb(world: &mut World, rng: &mut ChaCha8Rng) {
    let nodes = world.nodes.len();
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..9) {
        0 => world.publish(true),
        1 => world.publish(false),
        2 => world.stale_by = rng.random_range(0..3),
        3 => world.service_down = rng.random_bool(0.5),
        4 => world.island = (0..nodes).filter(|_| rng.random_bool(0.3)).collect(),
        5 => world.island.clear(),
        6 => world.pause(node, Duration::from_millis(rng.random_range(100..8_000))),
        7 => world.replace(node),
        _ => world.loss = rng.random_range(0.0..0.4),
    }
}

fn settle(world: &mut World) {
    world.island.clear();
    world.service_down = false;
    world.stale_by = 0;
    world.loss = 0.05;
    for node in 0..world.nodes.len() {
        world.pause(node, Duration::ZERO);
    }
    world.publish(true);
    world.run(IN_FORCE_LIMIT);
    let version = world.published.last().unwrap().index.version;
    assert_eq!(world.behind(version), NOBODY, "not on {version} in time");
}

#[test]
fn all_keepers_converge_after_any_faults_and_none_goes_back() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = rng.random_range(2..=60);
        let mut world = World::new(nodes, seed);
        world.publish(true);
        for _ in 0..60 {
            disturb(&mut world, &mut rng);
            world.run(Duration::from_millis(rng.random_range(50..1_500)));
        }
        settle(&mut world);
    }
}

#[test]
fn a_sheet_spreads_with_few_reads_at_the_service() {
    let mut world = World::new(60, 1);
    world.publish(true);
    world.run(IN_FORCE_LIMIT);
    assert_eq!(world.behind(1), NOBODY);
    world.service_reads = 0;
    world.publish(true);
    world.run(IN_FORCE_LIMIT);
    assert_eq!(world.behind(2), NOBODY);
    assert!(
        world.service_reads <= READS_PER_SHEET,
        "{}",
        world.service_reads
    );
}

#[test]
fn daemons_replaced_while_the_service_is_stale_take_the_sheet_of_their_peers() {
    for seed in 0..10 {
        let mut world = World::new(12, seed);
        for _ in 0..5 {
            world.publish(true);
        }
        world.run(IN_FORCE_LIMIT);
        assert_eq!(world.behind(5), NOBODY);
        world.stale_by = 2;
        world.loss = 0.2;
        for node in 0..12 {
            world.replace(node);
            for _ in 0..50 {
                world.run(Duration::from_millis(100));
                let version = world.nodes[node].updater.version();
                assert!(
                    [0, 5].contains(&version),
                    "seed {seed}: old sheet {version}"
                );
            }
            assert_eq!(world.behind(5), NOBODY, "seed {seed}");
        }
    }
}

#[test]
fn a_fleet_replaced_whole_waits_for_the_sheet_that_callers_have_met() {
    let mut world = World::new(8, 3);
    for _ in 0..4 {
        world.publish(true);
    }
    world.stale_by = 1;
    for node in 0..8 {
        world.replace(node);
        world.tell(node, sheet::SheetEvent::SeenVersion { version: 4 });
    }
    world.run(IN_FORCE_LIMIT * 4);
    assert!(world.nodes.iter().all(|node| !node.updater.is_ready()));
    assert!(world.nodes.iter().all(|node| node.updater.version() == 0));
    world.stale_by = 0;
    world.run(IN_FORCE_LIMIT);
    assert_eq!(world.behind(4), NOBODY);
}

#[test]
fn a_part_that_is_cut_off_keeps_its_sheet_and_catches_up() {
    let mut world = World::new(20, 4);
    world.publish(true);
    world.run(IN_FORCE_LIMIT);
    world.island = (0..7).collect();
    world.service_down = true;
    world.publish(true);
    world.run(IN_FORCE_LIMIT);
    assert!(world.nodes.iter().all(|node| node.updater.is_ready()));
    settle(&mut world);
}
