//! Checks the local copy of the store's contents through outages of the store, gaps in its history,
//! and answers that arrive in another order than their requests were sent.

mod common;

use {
    common::{at, changes, page, plan, position, replica_after_read, secs, target},
    relay::{PeerPosition, StoreChanges, StoreItem, StoreReplica, StoreRequest, WireFault},
    std::time::{Duration, Instant},
};

/// Age up to which evidence, the time of the last confirmation by the store, counts as fresh.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

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
    // A failed call counts as an outage of the store until the next answer, which comes after a silence
    // in which items can expire.
    replica.on_fault(&WireFault::Refused(503), now + secs(3));
    let gone = |id: &str| StoreItem::TargetGone(id.to_string());
    let changes = StoreChanges {
        items: vec![gone("t1"), gone("t2")],
        revision: 11,
    };
    replica.on_changes(changes, at(103), now + secs(4));
    assert_eq!(replica.view().targets.len(), 2);
    let registered_again = StoreChanges {
        items: vec![target("t2")],
        revision: 12,
    };
    replica.on_changes(registered_again, at(104), now + secs(5));
    assert!(replica.remove_expired(now + secs(6)));
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
    assert!(!replica.on_check_fault(&fault, now + secs(3)));
    replica.on_changes(
        changes(vec![StoreItem::TargetGone(String::from("t1"))], 12),
        at(103),
        now + secs(3),
    );
    assert!(replica.view().targets.contains_key("t1"));
    replica.remove_expired(now + secs(6));
    assert!(!replica.view().targets.contains_key("t1"));
}

/// The same request would fail again and again.
#[test]
fn changes_that_are_too_long_are_replaced_by_a_full_read_at_once() {
    let now = Instant::now();
    let whole_read = (StoreRequest::Read { after: None }, now);
    let mut replica = replica_after_read(now);
    replica.on_fault(&WireFault::TooLong, now);
    assert_eq!(replica.next_request(), whole_read);
    // A page that is too long is asked for again after a while.
    replica.on_fault(&WireFault::TooLong, now);
    assert!(replica.next_request().1 > now);
    let mut replica = replica_after_read(now);
    assert!(replica.on_check_fault(&WireFault::TooLong, now));
    assert_eq!(replica.next_request(), whole_read);
}

#[test]
fn a_target_that_came_and_went_in_one_answer_is_not_overlooked() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    assert!(replica.take_passed_targets().has_gap);
    let gone = StoreItem::TargetGone(String::from("t3"));
    replica.on_changes(changes(vec![target("t3"), gone], 12), at(101), now);
    let passed = replica.take_passed_targets();
    assert!(!replica.view().targets.contains_key("t3"));
    assert_eq!((passed.rows.len(), passed.has_gap), (1, false));
    assert_eq!(replica.take_passed_targets().rows, []);
}

/// Guards against a target that has left and is kept as one that could not register: the answer that brings its
/// removal is late because nothing changed before, not because the store was away.
#[test]
fn a_target_that_leaves_long_after_a_lost_call_is_gone_at_once() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_fault(&WireFault::Malformed(String::from("reset")), now);
    let (_, begun_at) = replica.next_request();
    assert!(begun_at < now + secs(1));
    let gone = StoreItem::TargetGone(String::from("t1"));
    replica.on_changes(changes(vec![gone], 12), at(101), now + secs(4));
    assert!(!replica.view().targets.contains_key("t1"));
    assert_eq!(
        replica.returned_ago(now + secs(4)),
        None,
        "there was no outage"
    );
}

/// Guards against a target that leaves right after a waiting watch was cut, and is kept as one whose item has expired:
/// review/13.
#[test]
fn a_target_that_leaves_right_after_a_lost_call_is_gone_at_once() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let fault = WireFault::Malformed(String::from("cut"));
    for second in 1..4 {
        let cut_at = now + secs(second);
        replica.on_fault(&fault, cut_at);
        assert!(!replica.on_check_fault(&fault, cut_at));
        let again_at = cut_at + Duration::from_millis(300);
        replica.on_check(changes(vec![], 10), at(100 + second), again_at);
    }
    let gone = StoreItem::TargetGone(String::from("t1"));
    let gone_at = now + Duration::from_millis(3_400);
    replica.on_changes(changes(vec![gone], 12), at(103), gone_at);
    assert!(!replica.view().targets.contains_key("t1"));
    assert_eq!(
        replica.returned_ago(gone_at),
        None,
        "nor do followers keep it"
    );
}

/// The store serves others while it turns this entry away.
#[test]
fn the_answers_that_others_get_show_that_no_item_can_have_expired() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    for second in 1..6 {
        replica.on_fault(&WireFault::Refused(503), now + secs(second));
        replica.record_sighting(now + secs(second));
    }
    let gone = StoreItem::TargetGone(String::from("t1"));
    replica.on_changes(changes(vec![gone], 12), at(106), now + secs(7));
    assert!(!replica.view().targets.contains_key("t1"));
}

/// Another entry may see the return first.
#[test]
fn an_outage_that_a_peer_saw_the_end_of_is_one_here_too() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    replica.on_fault(&WireFault::Refused(503), now + secs(4));
    replica.record_sighting(now + secs(5));
    let gone = StoreItem::TargetGone(String::from("t1"));
    replica.on_changes(changes(vec![gone], 12), at(105), now + secs(5));
    assert!(replica.view().targets.contains_key("t1"));
}

/// What has left serves for two seconds, and the news of it takes a while.
#[test]
fn no_target_is_kept_for_longer_than_one_that_left_can_serve() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let fault = WireFault::Refused(503);
    replica.on_fault(&fault, now + secs(5));
    let gone = StoreItem::TargetGone(String::from("t1"));
    let news_at = now + Duration::from_millis(5_300);
    replica.on_changes(changes(vec![gone], 12), at(105), news_at);
    replica.remove_expired(news_at + Duration::from_millis(1_600));
    assert!(replica.view().targets.contains_key("t1"));
    replica.remove_expired(news_at + Duration::from_millis(1_800));
    assert!(!replica.view().targets.contains_key("t1"));
}

/// The call was begun while the store was away, as later ones that failed show.
#[test]
fn the_return_of_the_store_is_after_the_last_failed_call() {
    let now = Instant::now();
    let mut replica = replica_after_read(now);
    let fault = WireFault::Malformed(String::from("silent"));
    assert!(!replica.on_check_fault(&fault, now + secs(4)));
    let gone = StoreItem::TargetGone(String::from("t1"));
    replica.on_changes(changes(vec![gone], 12), at(101), now + secs(5));
    assert!(replica.view().targets.contains_key("t1"));
    replica.remove_expired(now + secs(7));
    assert!(!replica.view().targets.contains_key("t1"));
}

/// Guards against keys of an older copy of the store: a process that has just started cannot tell one.
#[test]
fn a_process_that_has_heard_of_no_peer_has_no_evidence() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.await_peers();
    replica.on_page(page(vec![plan(3)], 10, None), at(100), now);
    let age = |replica: &StoreReplica| replica.view().evidence.age(secs(101));
    replica.heed_peers(false, now + Duration::from_millis(300));
    assert_eq!(age(&replica), None);
    replica.heed_peers(true, now + Duration::from_millis(400));
    assert_eq!(age(&replica), Some(secs(1)));
}

#[test]
fn a_process_whose_peer_has_a_later_configuration_has_no_evidence() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.await_peers();
    replica.on_page(page(vec![plan(3)], 10, None), at(100), now);
    replica.on_peer_plan(4, now);
    replica.heed_peers(true, now + Duration::from_millis(400));
    assert_eq!(replica.view().evidence.age(secs(101)), None);
}

#[test]
fn a_process_that_hears_of_no_peer_goes_by_the_store_after_a_while() {
    let now = Instant::now();
    let mut replica = StoreReplica::new(now);
    replica.await_peers();
    replica.on_page(page(vec![plan(3)], 10, None), at(100), now);
    replica.heed_peers(false, now + secs(2));
    assert_eq!(replica.view().evidence.age(secs(101)), Some(secs(1)));
}
