//! Placer processes bring engines into the state of the sheet, whatever becomes of the placers.

mod common;

use common::{FakeFleet, Placer};

fn hosts(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

#[test]
fn engines_follow_the_sheet_and_survive_their_owner() {
    for checks_orders in [true, false] {
        let folder = tempfile::tempdir().unwrap();
        let fleet = FakeFleet::start(6, checks_orders);
        fleet.shared.lock().unwrap().hosts = hosts(&["h1", "h2"]);
        let first = Placer::start(folder.path(), "h1", &fleet.entry);
        let _second = Placer::start(folder.path(), "h2", &fleet.entry);
        fleet.publish(1);
        fleet.wait_for_version(1);
        fleet.publish(2);
        fleet.wait_for_version(2);
        drop(first);
        fleet.shared.lock().unwrap().hosts = hosts(&["h2"]);
        fleet.publish(3);
        fleet.wait_for_version(3);
        let seen = fleet.shared.lock().unwrap();
        for (_, order) in &seen.obeyed {
            assert_eq!(order.models, [format!("m@{}", order.sheet_version)]);
        }
    }
}

#[test]
fn an_owner_that_was_frozen_sends_nothing_old() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = FakeFleet::start(4, false);
    fleet.shared.lock().unwrap().hosts = hosts(&["h1"]);
    let frozen = Placer::start(folder.path(), "h1", &fleet.entry);
    fleet.publish(1);
    fleet.wait_for_version(1);
    frozen.signal("STOP");
    fleet.shared.lock().unwrap().hosts = hosts(&["h2"]);
    let _other = Placer::start(folder.path(), "h2", &fleet.entry);
    fleet.publish(2);
    fleet.wait_for_version(2);
    let before = fleet.shared.lock().unwrap().obeyed.len();
    frozen.signal("CONT");
    fleet.publish(3);
    fleet.wait_for_version(3);
    let seen = fleet.shared.lock().unwrap();
    let later = &seen.obeyed[before..];
    assert!(
        later.iter().all(|(_, order)| order.sheet_version >= 2),
        "{later:?}"
    );
}

#[test]
fn an_engine_that_has_met_a_later_sheet_is_left_alone_and_the_entry_is_told() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = FakeFleet::start(1, true);
    fleet.shared.lock().unwrap().hosts = hosts(&["h1"]);
    fleet.shared.lock().unwrap().engines[0].sheet_version = 9;
    let _placer = Placer::start(folder.path(), "h1", &fleet.entry);
    fleet.publish(8);
    fleet.wait_until("the entry is told", |seen| seen.told_version == 9);
    assert!(fleet.shared.lock().unwrap().obeyed.is_empty());
    fleet.publish(9);
    fleet.publish(10);
    fleet.wait_for_version(10);
}
