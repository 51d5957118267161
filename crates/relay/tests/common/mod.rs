//! Contents and answers of a store, for tests of the local copy of it.

use {
    plan::{FleetPlan, KeyRegistry, StorePosition, TargetRow},
    relay::{AnswerOrigin, StoreChanges, StoreItem, StorePage, StoreReplica},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub fn target(id: &str) -> StoreItem {
    let row = TargetRow {
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: String::from("a"),
        version: Some(String::from("v1")),
        slots: 1,
        leaving: false,
        started_ms: 0,
    };
    StoreItem::Target(id.to_string(), row)
}

pub fn plan(version: u64) -> StoreItem {
    let plan = FleetPlan::new(version, KeyRegistry::default(), [], []);
    StoreItem::Plan(Arc::new(plan))
}

pub fn page(items: Vec<StoreItem>, revision: u64, next: Option<&str>) -> StorePage {
    StorePage {
        items,
        revision,
        next: next.map(String::from),
    }
}

/// Returns a duration in seconds. A boot time is a duration too: the time since the machine booted.
pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the origin of an answer to a call that was made at this boot time, in seconds, from a
/// store that states no era.
pub fn at(seconds: u64) -> AnswerOrigin {
    in_era(0, seconds)
}

pub fn in_era(era: u64, seconds: u64) -> AnswerOrigin {
    let called_at = Some(secs(seconds));
    AnswerOrigin { era, called_at }
}

pub fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Returns a replica that read plan 3 and the targets t1 and t2 at revision 10 of the store, at a
/// boot time of 100 s.
pub fn replica_after_read(now: Instant) -> StoreReplica {
    let mut replica = StoreReplica::new(now);
    replica.on_page(
        page(vec![plan(3), target("t1"), target("t2")], 10, None),
        at(100),
        now,
    );
    replica
}

pub fn changes(items: Vec<StoreItem>, revision: u64) -> StoreChanges {
    StoreChanges { items, revision }
}
