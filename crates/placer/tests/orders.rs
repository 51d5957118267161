//! Placer processes order fake engines into the state that the sheet wants, also when a placer is
//! killed or stopped.

mod common;

use common::{FakeFleet, Placer};

fn hosts(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

/// Guards against engines that stay on an old sheet because the placer that owned them was killed:
/// the other placer takes them over once only its host is live. No order may mix sheet versions.
#[test]
fn engines_follow_the_sheet_after_their_owner_is_killed() {
    for checks_orders in [true, false] {
        let folder = tempfile::tempdir().unwrap();
        let fleet = FakeFleet::start(6, checks_orders);
        fleet.state.lock().unwrap().hosts = hosts(&["h1", "h2"]);
        let first = Placer::start(folder.path(), "h1", &fleet.entry);
        let _second = Placer::start(folder.path(), "h2", &fleet.entry);
        fleet.publish(1);
        fleet.wait_for_version(1);
        fleet.publish(2);
        fleet.wait_for_version(2);
        drop(first);
        fleet.state.lock().unwrap().hosts = hosts(&["h2"]);
        fleet.publish(3);
        fleet.wait_for_version(3);
        let state = fleet.state.lock().unwrap();
        for (_, order) in &state.applied_orders {
            assert_eq!(order.models, [format!("m@{}", order.sheet_version)]);
        }
    }
}

/// Guards against stale orders: a placer that was stopped while it owned the engines still believes
/// that it does when it continues, and must not send them back to the sheet that it knew. These
/// engines do not check fencing tokens, so nothing else would hold the order back.
#[test]
fn resumed_owner_sends_no_stale_orders() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = FakeFleet::start(4, false);
    fleet.state.lock().unwrap().hosts = hosts(&["h1"]);
    let stopped = Placer::start(folder.path(), "h1", &fleet.entry);
    fleet.publish(1);
    fleet.wait_for_version(1);
    stopped.signal("STOP");
    fleet.state.lock().unwrap().hosts = hosts(&["h2"]);
    let _other = Placer::start(folder.path(), "h2", &fleet.entry);
    fleet.publish(2);
    fleet.wait_for_version(2);
    let orders_before = fleet.state.lock().unwrap().applied_orders.len();
    stopped.signal("CONT");
    fleet.publish(3);
    fleet.wait_for_version(3);
    let state = fleet.state.lock().unwrap();
    let orders_after = &state.applied_orders[orders_before..];
    assert!(
        orders_after
            .iter()
            .all(|(_, order)| order.sheet_version >= 2),
        "{orders_after:?}"
    );
}

/// Guards against an order that takes an engine back to an older sheet: an engine that another
/// placer ordered under a later sheet than the one in force here gets no order, and the entry is
/// told of that sheet.
#[test]
fn engine_with_later_sheet_gets_no_order_and_the_entry_is_told() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = FakeFleet::start(1, true);
    fleet.state.lock().unwrap().hosts = hosts(&["h1"]);
    fleet.state.lock().unwrap().engines[0].sheet_version = 9;
    let _placer = Placer::start(folder.path(), "h1", &fleet.entry);
    fleet.publish(8);
    fleet.wait_until("the entry is told of sheet 9", |state| {
        state.reported_version == 9
    });
    assert!(fleet.state.lock().unwrap().applied_orders.is_empty());
    fleet.publish(9);
    fleet.publish(10);
    fleet.wait_for_version(10);
}
