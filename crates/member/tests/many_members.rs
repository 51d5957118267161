//! Whole fleets under loss, pauses, kills and cuts.

mod fleet;

use {base::HostState, fleet::Fleet, std::time::Duration, wire::MarkSource};

/// Time within which a leaving mark has to reach every member that can be reached.
const MARK_LIMIT: Duration = Duration::from_secs(3);
const LOSS: f64 = 0.05;
const SIZES: [usize; 4] = [8, 32, 60, 220];

fn warm_fleet(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed, LOSS);
    fleet.run(Duration::from_secs(20));
    fleet
}

fn mark(fleet: &mut Fleet, index: usize, target: &str) {
    let since = fleet.stamp();
    fleet.call(index, |table, now| {
        table.mark_target_leaving(target, MarkSource::Target, since, now)
    });
}

fn all_know(fleet: &Fleet, target: &str) -> bool {
    let mut running = fleet.nodes.iter().filter(|node| !node.frozen && !node.dead);
    running.all(|node| node.table.is_target_leaving(target))
}

fn reaches(fleet: &mut Fleet, count: usize, done: impl Fn(&Fleet) -> bool) {
    let took = fleet.run_while_not(MARK_LIMIT, done);
    assert!(took.is_some(), "{count} members: not within {MARK_LIMIT:?}");
}

#[test]
fn target_marks_reach_everyone() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 11);
        mark(&mut fleet, count / 2, "t1");
        reaches(&mut fleet, count, |fleet| all_know(fleet, "t1"));
    }
}

#[test]
fn leaving_hosts_are_in_no_answer() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 12);
        let now = fleet.now;
        fleet.nodes[1].table.set_leaving(now);
        fleet.call(1, |table, now| table.on_tick(now));
        reaches(&mut fleet, count, |fleet| fleet.all_use(1, false));
        fleet.show_list(0..count, |_| HostState::Live);
        fleet.run(Duration::from_secs(35));
        assert!(
            fleet.all_use(1, false),
            "{count}: a stale list brought it back"
        );
        fleet.restart(1);
        reaches(&mut fleet, count, |fleet| fleet.all_use(1, true));
    }
}

#[test]
fn a_mark_on_one_list_reaches_everyone() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 13);
        // A list's mark is passed on only for a process known for longer than the list may lag.
        fleet.run(Duration::from_secs(60));
        let state = |index| match index {
            2 => HostState::Leaving,
            _ => HostState::Live,
        };
        fleet.show_list([0], state);
        reaches(&mut fleet, count, |fleet| fleet.all_use(2, false));
        fleet.show_list(0..count, |_| HostState::Live);
        fleet.run(Duration::from_secs(35));
        assert!(
            fleet.all_use(2, false),
            "{count}: a stale list brought it back"
        );
    }
}

#[test]
fn a_frozen_member_empties_no_view() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 14);
        fleet.nodes[0].frozen = true;
        fleet.run(Duration::from_secs(30));
        for index in 1..count {
            assert!(fleet.view(index) >= count - 1, "{count}: others");
        }
        fleet.thaw(0);
        for _ in 0..20 {
            fleet.run(Duration::from_millis(500));
            assert!(fleet.view(0) >= count - 1, "{count}: the frozen one");
        }
        assert!((0..count).all(|index| fleet.view(index) == count));
    }
}

#[test]
fn dead_members_leave_every_view() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 15);
        let dead = count / 8;
        for node in &mut fleet.nodes[..dead] {
            node.dead = true;
        }
        let took = fleet.run_while_not(Duration::from_secs(30), |fleet| {
            (dead..count).all(|index| fleet.view(index) == count - dead)
        });
        assert!(took.is_some(), "{count}: still in a view");
    }
}

#[test]
fn one_way_cuts_bring_no_suspicion() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 16);
        for index in 0..count {
            fleet.cut.insert((index, (index + 1) % count));
        }
        fleet.run(Duration::from_secs(20));
        assert!((0..count).all(|index| fleet.view(index) == count));
        mark(&mut fleet, 3, "t1");
        reaches(&mut fleet, count, |fleet| all_know(fleet, "t1"));
    }
}

#[test]
fn both_parts_serve_and_heal() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 17);
        let few: Vec<_> = (0..count / 3).collect();
        let many: Vec<_> = (count / 3..count).collect();
        fleet.partition(&few, &many);
        mark(&mut fleet, 0, "few");
        mark(&mut fleet, count - 1, "many");
        let parted = fleet.run_while_not(Duration::from_secs(60), |fleet| {
            let larger = many.iter().all(|&index| fleet.view(index) == many.len());
            larger && few.iter().all(|&index| fleet.view(index) == count)
        });
        assert!(
            parted.is_some(),
            "{count}: the larger part drops the other, doubt keeps all"
        );
        fleet.cut.clear();
        reaches(&mut fleet, count, |fleet| {
            all_know(fleet, "few") && all_know(fleet, "many")
        });
        let whole = fleet.run_while_not(Duration::from_secs(30), |fleet| {
            (0..count).all(|index| fleet.view(index) == count)
        });
        assert!(whole.is_some(), "{count}: the views did not become whole");
    }
}

#[test]
fn a_process_without_a_host_list_learns_from_one_peer() {
    for count in [8, 32, 60] {
        let mut fleet = warm_fleet(count, 18);
        mark(&mut fleet, 0, "t1");
        fleet.run(Duration::from_secs(10));
        fleet.restart_blind(3, 5);
        reaches(&mut fleet, count, |fleet| {
            all_know(fleet, "t1") && fleet.all_use(3, true)
        });
        let known = fleet.run_while_not(Duration::from_secs(30), |fleet| fleet.view(3) == count);
        assert!(known.is_some(), "{count}: it sees {}", fleet.view(3));
    }
}
