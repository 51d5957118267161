//! Checks the local copy of the store's contents through outages of the store, gaps in its history,
//! and answers that arrive in another order than their requests were sent.

use {
    plan::{FleetPlan, KeyRegistry, StorePosition, TargetRow},
    relay::{
        AnswerOrigin, PeerPosition, StoreChanges, StoreItem, StorePage, StoreReplica, StoreRequest,
        WireFault,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Age up to which evidence, the time of the last confirmation by the store, counts as fresh.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

fn target(id: &str) -> StoreItem {
    let row = TargetRow {
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: String::from("a"),
        slots: 1,
        leaving: false,
        started_ms: 0,
    };
    StoreItem::Target(id.to_string(), row)
}

fn plan(version: u64) -> StoreItem {
    let plan = FleetPlan::new(version, KeyRegistry::default(), [], []);
    StoreItem::Plan(Arc::new(plan))
}

fn page(items: Vec<StoreItem>, revision: u64, next: Option<&str>) -> StorePage {
    StorePage {
        items,
        revision,
        next: next.map(String::from),
    }
}

/// Returns a duration in seconds. A boot time is a duration too: the time since the machine booted.
fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the origin of an answer to a call that was made at this boot time, in seconds, from a
/// store that states no era.
fn at(seconds: u64) -> AnswerOrigin {
    in_era(0, seconds)
}

fn in_era(era: u64, seconds: u64) -> AnswerOrigin {
    let called_at = Some(secs(seconds));
    AnswerOrigin { era, called_at }
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Returns a replica that read plan 3 and the targets t1 and t2 at revision 10 of the store, at a
/// boot time of 100 s.
fn replica_after_read(now: Instant) -> StoreReplica {
    let mut replica = StoreReplica::new(now);
    replica.on_page(
        page(vec![plan(3), target("t1"), target("t2")], 10, None),
        at(100),
        now,
    );
    replica
}

#[test]
fn items_take_effect_only_after_the_last_page() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.on_page(page(vec![plan(3)], 10, Some("k")), at(100), now);
    assert!(replica.view().plan.is_none());
    let after = Some(String::from("k"));
    assert_eq!(replica.next_request().0, StoreRequest::Read { after });
    replica.on_page(page(vec![target("t1")], 12, None), at(101), now);
    assert_eq!(replica.view().plan.as_ref().unwrap().version, 3);
    // The watch begins at the revision of the first page, so changes between the pages are not
    // lost.
    assert!(matches!(
        replica.next_request().0,
        StoreRequest::Watch { revision: 10, .. }
    ));
    assert_eq!(replica.view().evidence.age(secs(101)), Some(secs(1)));
}

#[test]
fn older_plan_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let plan_change = |version, revision| StoreChanges {
        items: vec![plan(version)],
        revision,
    };
    replica.on_changes(plan_change(7, 11), at(101), now);
    replica.on_changes(plan_change(5, 12), at(102), now);
    assert_eq!(replica.view().plan.as_ref().unwrap().version, 7);
}

#[test]
fn evidence_age_counts_from_the_time_of_the_call() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let changes = StoreChanges {
        items: Vec::new(),
        revision: 11,
    };
    replica.on_changes(changes, at(105), now);
    assert!(replica.view().evidence.is_fresh(secs(108), EVIDENCE_LIMIT));
    assert!(!replica.view().evidence.is_fresh(secs(109), EVIDENCE_LIMIT));
}

#[test]
fn target_that_is_removed_without_an_outage_is_removed_at_once() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let changes = StoreChanges {
        items: vec![StoreItem::TargetGone(String::from("t1"))],
        revision: 11,
    };
    replica.on_changes(changes, at(101), now);
    assert_eq!(replica.view().targets.len(), 1);
}

#[test]
fn targets_that_expired_during_an_outage_are_kept_until_the_grace_ends() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    // A failed call counts as an outage of the store until the next answer.
    replica.on_fault(&WireFault::Refused(503), now);
    let gone = |id: &str| StoreItem::TargetGone(id.to_string());
    let changes = StoreChanges {
        items: vec![gone("t1"), gone("t2")],
        revision: 11,
    };
    replica.on_changes(changes, at(103), now);
    assert_eq!(replica.view().targets.len(), 2);
    let registered_again = StoreChanges {
        items: vec![target("t2")],
        revision: 12,
    };
    replica.on_changes(registered_again, at(104), now + secs(1));
    assert!(replica.remove_expired(now + secs(3)));
    let remaining: Vec<_> = replica.view().targets.keys().collect();
    assert_eq!(remaining, ["t2"]);
}

#[test]
fn lost_history_restarts_the_read_and_failures_increase_the_backoff() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_fault(&WireFault::HistoryGone, now);
    assert_eq!(
        replica.next_request(),
        (StoreRequest::Read { after: None }, now)
    );
    let mut backoffs = Vec::new();
    for _ in 0..5 {
        replica.on_fault(&WireFault::Refused(429), now);
        backoffs.push(replica.next_request().1 - now);
    }
    assert!(backoffs.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(backoffs[4] <= secs(1));
}

fn changes(items: Vec<StoreItem>, revision: u64) -> StoreChanges {
    StoreChanges { items, revision }
}

#[test]
fn only_peers_without_a_later_revision_refresh_the_evidence() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    assert_eq!(
        replica.on_peer_position(position(0, 10), secs(104), now),
        PeerPosition::NotLater
    );
    let age = |replica: &StoreReplica| replica.view().evidence.age(secs(105));
    assert_eq!(age(&replica), Some(secs(1)));
    assert_eq!(
        replica.on_peer_position(position(0, 11), secs(105), now),
        PeerPosition::Later
    );
    assert_eq!(
        age(&replica),
        Some(secs(1)),
        "the peer knows changes that this replica does not know"
    );
    assert_eq!(
        replica.on_peer_position(position(0, 9), secs(103), now),
        PeerPosition::NotLater
    );
    assert_eq!(
        age(&replica),
        Some(secs(1)),
        "an older confirmation changes nothing"
    );
}

#[test]
fn peers_do_not_refresh_the_evidence_during_a_full_read() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_fault(&WireFault::HistoryGone, now);
    assert_eq!(replica.check_request(), None);
    assert_eq!(
        replica.on_peer_position(position(0, 10), secs(104), now),
        PeerPosition::NotLater
    );
    assert_eq!(replica.view().evidence.age(secs(105)), Some(secs(5)));
}

// A check asks the store for changes without waiting for them, beside the read of all items and the
// watch that waits for changes.
#[test]
fn check_with_an_older_revision_than_the_watch_is_ignored() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_changes(
        changes(vec![StoreItem::TargetGone(String::from("t1"))], 12),
        at(101),
        now,
    );
    assert!(!replica.on_check(changes(vec![target("t1")], 11), at(102), now));
    assert!(!replica.view().targets.contains_key("t1"));
    assert_eq!(replica.view().evidence.age(secs(103)), Some(secs(1)));
}

#[test]
fn check_reports_whether_it_brought_changes() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    assert!(replica.on_check(changes(vec![plan(5)], 13), at(102), now));
    assert_eq!(replica.view().plan.as_ref().unwrap().version, 5);
    assert!(!replica.on_check(changes(vec![], 13), at(103), now));
}

#[test]
fn targets_that_expired_while_checks_failed_are_kept_until_the_grace_ends() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let fault = WireFault::Malformed(String::from("silent"));
    assert!(!replica.on_check_fault(&fault, now));
    replica.on_changes(
        changes(vec![StoreItem::TargetGone(String::from("t1"))], 12),
        at(101),
        now,
    );
    assert!(replica.view().targets.contains_key("t1"));
    replica.remove_expired(now + secs(3));
    assert!(!replica.view().targets.contains_key("t1"));
}

fn leaving(id: &str) -> StoreItem {
    let StoreItem::Target(id, row) = target(id) else {
        unreachable!("`target` returns a target");
    };
    StoreItem::Target(
        id,
        TargetRow {
            leaving: true,
            ..row
        },
    )
}

fn is_leaving(replica: &StoreReplica, id: &str) -> bool {
    let row = replica.view().targets.get(id);
    row.is_some_and(|row| row.leaving)
}

// A store that has come back from an older copy states a later era.
#[test]
fn later_era_restarts_the_read_and_late_answers_of_the_older_one_change_nothing() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_changes(changes(vec![], 8), in_era(1, 101), now);
    assert_eq!(replica.next_request().0, StoreRequest::Read { after: None });
    replica.on_page(
        page(vec![plan(4), target("t1")], 8, None),
        in_era(1, 102),
        now,
    );
    assert_eq!(replica.position(), position(1, 8));
    let late = changes(vec![StoreItem::TargetGone(String::from("t1"))], 12);
    replica.on_changes(late, at(103), now);
    assert!(replica.view().targets.contains_key("t1"));
    assert_eq!(replica.position(), position(1, 8));
}

#[test]
fn revisions_that_are_given_out_again_are_applied() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_changes(changes(vec![], 5), in_era(1, 101), now);
    replica.on_page(page(vec![plan(3)], 5, None), in_era(1, 102), now);
    replica.on_changes(changes(vec![plan(9)], 6), in_era(1, 103), now);
    assert_eq!(replica.view().plan.as_ref().unwrap().version, 9);
}

#[test]
fn page_of_a_later_era_does_not_complete_a_read_of_the_older_one() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.on_page(
        page(vec![plan(3), target("t1")], 10, Some("k")),
        at(100),
        now,
    );
    replica.on_page(page(vec![target("t2")], 8, None), in_era(1, 101), now);
    assert!(replica.view().plan.is_none());
    assert_eq!(replica.next_request().0, StoreRequest::Read { after: None });
}

#[test]
fn what_bound_before_an_era_binds_until_the_era_states_it() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let gone = StoreItem::TargetGone(String::from("t2"));
    replica.on_changes(changes(vec![leaving("t1"), gone], 12), at(101), now);
    replica.on_changes(changes(vec![], 10), in_era(1, 102), now);
    let older_copy = page(vec![plan(2), target("t1"), target("t2")], 10, None);
    replica.on_page(older_copy, in_era(1, 103), now);
    assert_eq!(replica.view().plan.as_ref().unwrap().version, 3);
    assert!(is_leaving(&replica, "t1"));
    assert!(is_leaving(&replica, "t2"), "it had left before");
    // The target itself says in the new era that it is ready.
    replica.on_changes(changes(vec![target("t2")], 11), in_era(1, 104), now);
    assert!(!is_leaving(&replica, "t2"));
    assert!(is_leaving(&replica, "t1"));
}

/// A target may be held although it is in use, if it came back before the read.
#[test]
fn store_is_read_again_once_its_list_can_be_trusted() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_changes(
        changes(vec![StoreItem::TargetGone(String::from("t2"))], 12),
        at(101),
        now,
    );
    replica.on_changes(changes(vec![], 10), in_era(1, 102), now);
    let list = || page(vec![plan(3), target("t1"), target("t2")], 10, None);
    replica.on_page(list(), in_era(1, 103), now);
    assert!(is_leaving(&replica, "t2"));
    let later = now + secs(11);
    replica.remove_expired(later);
    assert_eq!(replica.next_request().0, StoreRequest::Read { after: None });
    replica.on_page(list(), in_era(1, 114), later);
    assert!(!is_leaving(&replica, "t2"));
}

#[test]
fn answers_of_a_new_era_are_no_evidence_until_the_operator_can_have_written_again() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_changes(changes(vec![], 8), in_era(1, 101), now);
    replica.on_page(page(vec![plan(2)], 8, None), in_era(1, 102), now);
    assert_eq!(replica.view().evidence.age(secs(102)), Some(secs(2)));
    replica.on_changes(changes(vec![], 8), in_era(1, 105), now + secs(3));
    assert_eq!(replica.view().evidence.age(secs(105)), Some(secs(0)));
}

#[test]
fn peers_of_an_older_era_refresh_no_evidence() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_changes(changes(vec![], 8), in_era(1, 101), now);
    replica.on_page(page(vec![plan(3)], 8, None), in_era(1, 102), now);
    let outcome = replica.on_peer_position(position(0, 99), secs(109), now + secs(9));
    assert_eq!(outcome, PeerPosition::NotLater);
    assert_eq!(replica.view().evidence.age(secs(109)), Some(secs(9)));
    let outcome = replica.on_peer_position(position(2, 1), secs(109), now + secs(9));
    assert_eq!(outcome, PeerPosition::Later);
}

#[test]
fn evidence_of_a_newcomer_is_withdrawn_while_a_peer_has_a_later_plan() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_peer_plan(5, now + secs(1));
    assert_eq!(replica.view().evidence.age(secs(101)), None);
    replica.on_changes(changes(vec![], 11), at(102), now + secs(2));
    assert_eq!(replica.view().evidence.age(secs(102)), None);
    replica.on_changes(changes(vec![plan(5)], 12), at(103), now + secs(3));
    assert_eq!(replica.view().evidence.age(secs(103)), Some(secs(0)));
    // Later on a peer is merely ahead for a moment.
    replica.on_peer_plan(6, now + secs(20));
    assert!(replica.view().evidence.age(secs(104)).is_some());
}

/// Checks that a peer that follows by changes or by a snapshot ends with the same contents.
#[test]
fn peers_follow_by_changes_or_by_a_snapshot() {
    let now = Instant::now();
    let mut feeder = replica_after_read(now);
    let mut follower = replica_after_read(now);
    let from = follower.position();
    feeder.on_changes(changes(vec![plan(5), leaving("t1")], 14), at(101), now);
    let items = feeder.change_log().changes_after(from).unwrap();
    let evidence = follower.view().evidence;
    follower.on_peer_changes(from, changes(items, 14), 0, now);
    assert_eq!(follower.position(), feeder.position());
    assert_eq!(follower.view().targets, feeder.view().targets);
    assert_eq!(follower.view().evidence, evidence, "a feed is no evidence");
    let gap = position(0, 20);
    follower.on_peer_changes(gap, changes(vec![plan(9)], 21), 0, now);
    assert_eq!(follower.view().plan.as_ref().unwrap().version, 5);
    let items = vec![plan(9), target("t3")];
    follower.on_peer_snapshot(position(1, 3), items, now);
    assert_eq!(follower.position(), position(1, 3));
    assert_eq!(follower.view().plan.as_ref().unwrap().version, 9);
    assert!(follower.view().targets.contains_key("t3"));
    assert!(feeder.change_log().changes_after(position(0, 9)).is_none());
}
