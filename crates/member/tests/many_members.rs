//! Simulated fleets of several sizes under loss, pauses, kills and cuts.

mod fleet;

use {base::HostState, fleet::Fleet, std::time::Duration, wire::MarkSource};

/// Time within which a change has to reach every member that can be reached.
const REACH_LIMIT: Duration = Duration::from_secs(3);
/// Share of datagrams that are lost.
const LOSS: f64 = 0.05;
const SIZES: [usize; 4] = [8, 32, 60, 220];

fn warm_fleet(count: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(count, seed, LOSS);
    fleet.run(Duration::from_secs(20));
    fleet
}

fn mark_target(fleet: &mut Fleet, index: usize, target: &str) {
    let since = fleet.stamp();
    fleet.call(index, |table, now| {
        table.mark_target_leaving(target, MarkSource::Target, since, now)
    });
}

fn all_know_mark(fleet: &Fleet, target: &str) -> bool {
    let mut running = fleet
        .nodes
        .iter()
        .filter(|node| !node.is_paused && !node.is_dead);
    running.all(|node| node.table.is_target_leaving(target))
}

fn assert_reached(fleet: &mut Fleet, member_count: usize, done: impl Fn(&Fleet) -> bool) {
    let took = fleet.run_until_done(REACH_LIMIT, done);
    assert!(
        took.is_some(),
        "{member_count} members: not reached within {REACH_LIMIT:?}"
    );
}

/// Guards against a target mark that some member misses because its rumour was lost.
#[test]
fn target_marks_reach_all_members() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 11);
        mark_target(&mut fleet, count / 2, "t1");
        assert_reached(&mut fleet, count, |fleet| all_know_mark(fleet, "t1"));
    }
}

/// Guards against a leaving host in address answers: a member may not have heard that it is leaving,
/// or a stale host list may make it live again. A later process of the host has to be live again.
#[test]
fn leaving_hosts_are_in_no_answer() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 12);
        let now = fleet.now;
        fleet.nodes[1].table.set_leaving(now);
        fleet.call(1, |table, now| table.on_tick(now));
        assert_reached(&mut fleet, count, |fleet| fleet.all_see_live(1, false));
        fleet.deliver_list(0..count, |_| HostState::Live);
        // Longer than the time for which a list must show a host as live to clear its own mark.
        fleet.run(Duration::from_secs(35));
        assert!(
            fleet.all_see_live(1, false),
            "{count}: a stale list made the leaving host live again"
        );
        fleet.restart(1);
        assert_reached(&mut fleet, count, |fleet| fleet.all_see_live(1, true));
    }
}

/// Guards against a mark of the host list that only the member which read it acts on: the other
/// members read the list later, and a stale list may still show the host as live.
#[test]
fn mark_on_one_host_list_reaches_all_members() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 13);
        // A mark of the list is passed on only for a process known for longer than the list may lag.
        fleet.run(Duration::from_secs(60));
        let state = |index| match index {
            2 => HostState::Leaving,
            _ => HostState::Live,
        };
        fleet.deliver_list([0], state);
        assert_reached(&mut fleet, count, |fleet| fleet.all_see_live(2, false));
        fleet.deliver_list(0..count, |_| HostState::Live);
        fleet.run(Duration::from_secs(35));
        assert!(
            fleet.all_see_live(2, false),
            "{count}: a stale list made the leaving host live again"
        );
    }
}

/// Guards against a paused process that removes members from its own view when it resumes, since it
/// missed their answers, or that makes others do so.
#[test]
fn paused_member_empties_no_view() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 14);
        fleet.nodes[0].is_paused = true;
        fleet.run(Duration::from_secs(30));
        for index in 1..count {
            assert!(
                fleet.view_size(index) >= count - 1,
                "{count}: members left the view of {index}"
            );
        }
        fleet.resume(0);
        for _ in 0..20 {
            fleet.run(Duration::from_millis(500));
            assert!(
                fleet.view_size(0) >= count - 1,
                "{count}: members left the view of the resumed one"
            );
        }
        assert!((0..count).all(|index| fleet.view_size(index) == count));
    }
}

/// Guards against failed members that stay in address answers.
#[test]
fn dead_members_leave_every_view() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 15);
        let dead_count = count / 8;
        for node in &mut fleet.nodes[..dead_count] {
            node.is_dead = true;
        }
        let took = fleet.run_until_done(Duration::from_secs(30), |fleet| {
            (dead_count..count).all(|index| fleet.view_size(index) == count - dead_count)
        });
        assert!(took.is_some(), "{count}: still in a view");
    }
}

/// Guards against false suspicions when a link fails in one direction: indirect probes have to
/// reach the member, and rumours have to take other ways.
#[test]
fn one_way_cuts_cause_no_suspicion() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 16);
        for index in 0..count {
            fleet.cut_links.insert((index, (index + 1) % count));
        }
        fleet.run(Duration::from_secs(20));
        assert!((0..count).all(|index| fleet.view_size(index) == count));
        mark_target(&mut fleet, 3, "t1");
        assert_reached(&mut fleet, count, |fleet| all_know_mark(fleet, "t1"));
    }
}

/// Guards against a network partition that empties views or outlasts its end. The larger part drops
/// the smaller one; the smaller part sees a majority of suspects and keeps all members. Marks made
/// in either part reach all members after the partition ends.
#[test]
fn both_parts_of_a_partition_serve_and_recover() {
    for count in SIZES {
        let mut fleet = warm_fleet(count, 17);
        let small_part: Vec<_> = (0..count / 3).collect();
        let large_part: Vec<_> = (count / 3..count).collect();
        fleet.partition(&small_part, &large_part);
        mark_target(&mut fleet, 0, "few");
        mark_target(&mut fleet, count - 1, "many");
        let partitioned = fleet.run_until_done(Duration::from_secs(60), |fleet| {
            let is_small_part_dropped = large_part
                .iter()
                .all(|&index| fleet.view_size(index) == large_part.len());
            is_small_part_dropped
                && small_part
                    .iter()
                    .all(|&index| fleet.view_size(index) == count)
        });
        assert!(
            partitioned.is_some(),
            "{count}: the larger part did not drop the other, or the smaller part dropped members"
        );
        fleet.cut_links.clear();
        assert_reached(&mut fleet, count, |fleet| {
            all_know_mark(fleet, "few") && all_know_mark(fleet, "many")
        });
        let recovered = fleet.run_until_done(Duration::from_secs(30), |fleet| {
            (0..count).all(|index| fleet.view_size(index) == count)
        });
        assert!(recovered.is_some(), "{count}: some view lacks members");
    }
}

/// Guards against a restarted process that takes wrong decisions because it can't read the host
/// list: one seed address has to be enough to learn of all members and marks.
#[test]
fn process_without_a_host_list_learns_from_one_peer() {
    for count in [8, 32, 60] {
        let mut fleet = warm_fleet(count, 18);
        mark_target(&mut fleet, 0, "t1");
        fleet.run(Duration::from_secs(10));
        fleet.restart_without_list(3, 5);
        assert_reached(&mut fleet, count, |fleet| {
            all_know_mark(fleet, "t1") && fleet.all_see_live(3, true)
        });
        let learned =
            fleet.run_until_done(Duration::from_secs(30), |fleet| fleet.view_size(3) == count);
        assert!(
            learned.is_some(),
            "{count}: the view has {} members",
            fleet.view_size(3)
        );
    }
}
