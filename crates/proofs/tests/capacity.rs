//! Order of growth of what `docs/CAPACITY.md` reckons with: counts only, never times.

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
/// Moments of the poll period at which a sheet is published.
const PHASES: u32 = 4;
const LOSS: f64 = 0.01;
const CENTRES: usize = 8;
const SIZES: [usize; 3] = [32, 128, 370];
/// Messages a second that a member may send and receive more in any larger fleet.
const MORE_MESSAGES: f64 = 2.0;
/// Reads of the index a second by a fleet of any size: one each 30 ms.
const INDEX_READS: f64 = 34.0;
/// Fetches of one sheet from the service: two watchers of each of 3 data centres, twice, and all
/// that poll in one second.
const SHEET_FETCHES: u64 = 12 + 34;

/// Messages a second of one member, mean over all.
fn messages(members: usize) -> f64 {
    let mut fleet = Fleet::new(members, SEED, LOSS);
    fleet.run(Duration::from_secs(15));
    fleet.reset_counts();
    fleet.run(Duration::from_secs(5));
    let nodes = fleet.nodes.iter();
    let count: usize = nodes.map(|node| node.sent + node.received).sum();
    count as f64 / 5.0 / members as f64
}

#[test]
fn messages_of_a_member_do_not_grow_with_the_fleet() {
    let small = messages(8);
    for members in [32, 128] {
        let count = messages(members);
        assert!(
            count <= small + MORE_MESSAGES,
            "{members}: {count} after {small}"
        );
    }
}

#[test]
fn reads_of_the_index_do_not_grow_with_the_fleet() {
    for members in [370, 740, 1_480] {
        let name = |host| (format!("h{host}"), format!("dc{}", host % CENTRES));
        let assignment = WatchAssignment::new((0..members).map(name));
        assert_eq!(assignment.watchers().len(), 2 * CENTRES);
        let polls = (members - 2 * CENTRES) as f64 / assignment.poll_period().as_secs_f64();
        assert!(polls <= INDEX_READS, "{members}: {polls}");
    }
}

#[test]
fn fetches_of_a_sheet_from_the_service_do_not_grow_with_the_fleet() {
    for members in SIZES {
        let names = (0..members).map(|host| (format!("h{host}"), format!("dc{}", host % 3)));
        let period = WatchAssignment::new(names).poll_period();
        for phase in 0..PHASES {
            let mut sim = SheetSim::new(members, SEED);
            sim.loss_share = LOSS;
            sim.publish(true);
            sim.run(period * 2 + period * phase / PHASES);
            sim.service_reads = 0;
            sim.publish(true);
            sim.run(Duration::from_secs(5));
            assert!(
                sim.nodes_behind(2).is_empty(),
                "{members}, {phase}: not in force"
            );
            let reads = sim.service_reads;
            assert!(reads <= SHEET_FETCHES, "{members}, {phase}: {reads}");
        }
    }
}

#[test]
fn an_answer_names_as_many_entries_in_any_fleet() {
    for members in SIZES {
        let ranking = EntryRanking::new((0..members).map(|host| (format!("h{host}"), 1)));
        let count = ranking.entry_count(None, 1, 31_000);
        assert_eq!(count, DEFAULT_ENTRIES);
        assert_eq!(ranking.rank("farm", count).len(), count);
    }
}

#[test]
fn targets_that_one_host_owns_shrink_as_the_fleet_grows() {
    let mut most = usize::MAX;
    for members in SIZES {
        let ownership = TargetOwnership::new((0..members).map(|host| format!("h{host}")).collect());
        let mut owned = BTreeMap::<_, usize>::new();
        for target in 0..600 {
            *owned
                .entry(ownership.owner_of(&format!("t{target}")))
                .or_default() += 1;
        }
        let largest = owned.into_values().max().unwrap_or_default();
        assert!(largest < most, "{members}: {largest} after {most}");
        most = largest;
    }
}
