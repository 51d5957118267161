//! Guards against a log of changes that grows with the size of configurations, or whose messages grow
//! too long to be sent.

use {
    plan::{FleetPlan, KeyRegistry, StorePosition},
    relay::{ChangeLog, StoreItem},
    std::sync::Arc,
};

fn at(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn plan(version: u64) -> Arc<FleetPlan> {
    Arc::new(FleetPlan::new(version, KeyRegistry::default(), [], []))
}

fn gone(id: &str) -> StoreItem {
    StoreItem::TargetGone(id.to_string())
}

#[test]
fn only_the_newest_configuration_is_kept() {
    let mut log = ChangeLog::default();
    let plans: Vec<_> = [3, 4, 6, 5].map(plan).to_vec();
    let item = |index: usize| StoreItem::Plan(Arc::clone(&plans[index]));
    log.record(at(1), at(3), vec![gone("a"), item(0), item(1)]);
    log.record(at(3), at(4), vec![item(2), gone("b")]);
    log.record(at(4), at(5), vec![item(3)]);
    let changes = log.changes_after(at(1)).unwrap();
    assert_eq!(changes, [gone("a"), item(2), gone("b")]);
    drop(changes);
    let held: Vec<_> = plans.iter().map(Arc::strong_count).collect();
    assert_eq!(held, [1, 1, 2, 1]);
}

#[test]
fn peers_that_lack_very_many_changes_get_a_snapshot() {
    let mut log = ChangeLog::default();
    for revision in 1..=30 {
        let items = (0..1_000)
            .map(|number| gone(&format!("t{number}")))
            .collect();
        log.record(at(revision), at(revision + 1), items);
    }
    assert!(log.changes_after(at(1)).is_none());
    assert!(
        log.changes_after(at(30))
            .is_some_and(|items| items.len() == 1_000)
    );
}
