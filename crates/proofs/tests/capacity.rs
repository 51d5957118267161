//! Checks how the loads from which `docs/CAPACITY.md` computes the supported size grow with the
//! fleet. All tests count messages, reads or rows and measure no time.

#[path = "../../sheet/tests/common/mod.rs"]
mod common;
#[path = "../../member/tests/fleet/mod.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../../sheet/tests/common/sheet_sim.rs"]
mod sheet_sim;

use {
    fleet::Fleet,
    order::TargetOwnership,
    route::{DEFAULT_ENTRIES, EntryRanking},
    sheet::WatchAssignment,
    sheet_sim::SheetSim,
    std::{collections::BTreeMap, time::Duration},
};

const SEED: u64 = 1;
/// Number of points in the poll period at which a sheet is published.
const PHASES: u32 = 4;
/// Share of messages that are lost.
const LOSS_SHARE: f64 = 0.01;
const DATA_CENTRES: usize = 8;
/// Numbers of entries in the fleets.
const FLEET_SIZES: [usize; 3] = [32, 128, 370];
/// Messages per second that a member of a larger fleet may send and receive in addition to those of
/// a member of the smallest fleet.
const MAX_EXTRA_MESSAGES: f64 = 2.0;
/// Reads of the sheet index per second by a fleet of any size: about one every 30 ms.
const MAX_INDEX_READS: f64 = 34.0;
/// Fetches of one sheet from the service: two by each of the two watchers in 3 data centres, and
/// one by each entry that polls within one second.
const MAX_SHEET_FETCHES: u64 = 12 + 34;

/// Returns the messages per second that a member sends and receives, as the mean of all members.
fn mean_messages(members: usize) -> f64 {
    let mut fleet = Fleet::new(members, SEED, LOSS_SHARE);
    fleet.run(Duration::from_secs(15));
    fleet.reset_counts();
    fleet.run(Duration::from_secs(5));
    let nodes = fleet.nodes.iter();
    let count: usize = nodes.map(|node| node.sent + node.received).sum();
    count as f64 / 5.0 / members as f64
}

/// Guards against membership traffic that overloads members of a large fleet, as it would if each
/// member probed or told all others.
#[test]
fn messages_of_a_member_do_not_grow_with_the_fleet() {
    let small_fleet_count = mean_messages(8);
    for members in [32, 128] {
        let count = mean_messages(members);
        assert!(
            count <= small_fleet_count + MAX_EXTRA_MESSAGES,
            "{members} members: {count} messages per second, but {small_fleet_count} with 8"
        );
    }
}

/// Guards against a configuration service that is overloaded by index reads because each entry
/// polls at a fixed period. Two watchers per data centre hold long reads; the others must poll less
/// often in a larger fleet.
#[test]
fn reads_of_the_index_do_not_grow_with_the_fleet() {
    for members in [370, 740, 1_480] {
        let name = |host| (format!("h{host}"), format!("dc{}", host % DATA_CENTRES));
        let assignment = WatchAssignment::new((0..members).map(name));
        assert_eq!(assignment.watchers().len(), 2 * DATA_CENTRES);
        let polls =
            (members - 2 * DATA_CENTRES) as f64 / assignment.mean_poll_interval().as_secs_f64();
        assert!(
            polls <= MAX_INDEX_READS,
            "{members} members: {polls} reads per second"
        );
    }
}

/// Guards against entries that all fetch a new sheet from the service instead of from their peers,
/// at whichever point of the poll period the sheet is published.
#[test]
fn fetches_of_a_sheet_from_the_service_do_not_grow_with_the_fleet() {
    for members in FLEET_SIZES {
        let names = (0..members).map(|host| (format!("h{host}"), format!("dc{}", host % 3)));
        let period = WatchAssignment::new(names).mean_poll_interval();
        for phase in 0..PHASES {
            let mut sim = SheetSim::new(members, SEED);
            sim.loss_share = LOSS_SHARE;
            sim.publish(true);
            sim.run(period * 2 + period * phase / PHASES);
            sim.service_reads = 0;
            sim.publish(true);
            sim.run(Duration::from_secs(5));
            assert!(
                sim.nodes_behind(2).is_empty(),
                "{members} members, phase {phase}: sheet 2 is not in force everywhere"
            );
            let reads = sim.service_reads;
            assert!(
                reads <= MAX_SHEET_FETCHES,
                "{members} members, phase {phase}: {reads} reads"
            );
        }
    }
}

/// Guards against address answers that grow with the fleet.
#[test]
fn address_answer_has_the_same_length_in_any_fleet() {
    for members in FLEET_SIZES {
        let ranking = EntryRanking::new((0..members).map(|host| (format!("h{host}"), 1)));
        let count = ranking.entry_count(None, 1, 31_000);
        assert_eq!(count, DEFAULT_ENTRIES);
        assert_eq!(ranking.rank("farm", count).len(), count);
    }
}

/// Guards against a host that owns a fixed or large part of the targets, whatever the size of the
/// fleet.
#[test]
fn most_targets_owned_by_one_host_fall_as_the_fleet_grows() {
    let mut previous_most = usize::MAX;
    for members in FLEET_SIZES {
        let ownership = TargetOwnership::new((0..members).map(|host| format!("h{host}")).collect());
        let mut owned_counts = BTreeMap::<_, usize>::new();
        for target in 0..600 {
            *owned_counts
                .entry(ownership.owner_of(&format!("t{target}")))
                .or_default() += 1;
        }
        let most = owned_counts.into_values().max().unwrap_or_default();
        assert!(
            most < previous_most,
            "{members} members: {most} targets at one host, {previous_most} in a smaller fleet"
        );
        previous_most = most;
    }
}
