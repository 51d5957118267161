//! Checks the local copy of the store's contents when the store comes back from an older copy, which
//! it tells by a later era, and when peers pass its contents on.

mod common;

use {
    common::{at, changes, in_era, page, plan, position, replica_after_read, secs, target},
    plan::TargetRow,
    relay::{PeerPosition, StoreItem, StoreReplica, StoreRequest},
    std::time::Instant,
};

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

/// A follower calls the store seldom, so it learns from its peer that an outage has just ended.
#[test]
fn followers_keep_targets_that_expired_in_an_outage_as_the_peer_does() {
    let now = Instant::now();
    let mut follower = replica_after_read(now);
    let from = follower.position();
    let gone = |id: &str| StoreItem::TargetGone(id.to_string());
    follower.on_peer_return(secs(1), now + secs(9));
    follower.on_peer_changes(from, changes(vec![gone("t1")], 11), 0, now + secs(9));
    assert!(follower.view().targets.contains_key("t1"));
    follower.remove_expired(now + secs(11));
    assert!(!follower.view().targets.contains_key("t1"));
    let from = follower.position();
    follower.on_peer_changes(from, changes(vec![gone("t2")], 12), 0, now + secs(20));
    assert!(!follower.view().targets.contains_key("t2"));
}

/// Guards against keys of an older copy at a process that starts in a later era: it cannot tell how long
/// ago the era began.
#[test]
fn a_process_that_starts_in_a_later_era_waits_until_the_operator_can_have_written_again() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.await_peers();
    replica.on_page(page(vec![plan(3)], 10, None), in_era(1, 100), now);
    // Another process that has just started and read the same copy proves nothing.
    replica.on_peer_plan(3, now);
    replica.heed_peers(true, now);
    assert_eq!(replica.could_confirm_for(now), None);
    replica.on_changes(changes(vec![], 10), in_era(1, 101), now + secs(1));
    assert_eq!(replica.view().evidence.age(secs(101)), None);
    let later = now + secs(3);
    assert!(replica.could_confirm_for(later).is_some());
    replica.on_changes(changes(vec![], 10), in_era(1, 103), later);
    assert_eq!(replica.view().evidence.age(secs(103)), Some(secs(0)));
}

#[test]
fn a_peer_with_evidence_vouches_for_the_store_in_a_later_era() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.await_peers();
    replica.on_page(page(vec![plan(3)], 10, None), in_era(1, 100), now);
    replica.on_peer_position(position(1, 10), secs(98), now);
    assert_eq!(replica.view().evidence.age(secs(100)), Some(secs(2)));
}

#[test]
fn a_peer_with_a_later_configuration_vouches_for_nothing() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.await_peers();
    replica.on_page(page(vec![plan(3)], 10, None), in_era(1, 100), now);
    replica.on_peer_plan(4, now);
    replica.on_peer_position(position(1, 10), secs(98), now);
    assert_eq!(replica.view().evidence.age(secs(100)), None);
}
