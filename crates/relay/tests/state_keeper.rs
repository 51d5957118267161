//! What an entry believes of the store through outages and gaps of its history.

use {
    plan::{FleetPlan, KeyRegistry, TargetRow},
    relay::{PeerWord, StateItem, StateKeeper, StateNews, StatePage, StoreOrder, WireFault},
    std::time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_secs(3);

fn target(id: &str) -> StateItem {
    let row = TargetRow {
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: String::from("a"),
        slots: 1,
        leaving: false,
        started_ms: 0,
    };
    StateItem::Target(id.to_string(), row)
}

fn plan(version: u64) -> StateItem {
    let plan = FleetPlan::new(version, KeyRegistry::default(), [], []);
    StateItem::Plan(Box::new(plan))
}

fn page(items: Vec<StateItem>, revision: u64, next: Option<&str>) -> StatePage {
    StatePage {
        items,
        revision,
        next: next.map(String::from),
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn started(now: Instant) -> StateKeeper {
    let mut keeper = StateKeeper::new(now);
    keeper.on_page(
        page(vec![plan(3), target("t1"), target("t2")], 10, None),
        secs(100),
        now,
    );
    keeper
}

#[test]
fn all_pages_are_read_before_anything_counts() {
    let now = Instant::now();
    let mut keeper = StateKeeper::new(now);
    keeper.on_page(page(vec![plan(3)], 10, Some("k")), secs(100), now);
    assert!(keeper.view().plan.is_none());
    let after = Some(String::from("k"));
    assert_eq!(keeper.next_order().0, StoreOrder::Read { after });
    keeper.on_page(page(vec![target("t1")], 12, None), secs(101), now);
    assert_eq!(keeper.view().plan.as_ref().unwrap().version, 3);
    // Changes between the pages come again with the first watch.
    assert!(matches!(
        keeper.next_order().0,
        StoreOrder::Watch { revision: 10, .. }
    ));
    assert_eq!(keeper.view().evidence.age(secs(101)), Some(secs(1)));
}

#[test]
fn a_plan_is_never_taken_back() {
    let now = Instant::now();
    let mut keeper = started(now);
    let news = |version, revision| StateNews {
        items: vec![plan(version)],
        revision,
    };
    keeper.on_news(news(7, 11), secs(101), now);
    keeper.on_news(news(5, 12), secs(102), now);
    assert_eq!(keeper.view().plan.as_ref().unwrap().version, 7);
}

#[test]
fn evidence_counts_from_the_beginning_of_a_call() {
    let now = Instant::now();
    let mut keeper = started(now);
    let news = StateNews {
        items: Vec::new(),
        revision: 11,
    };
    keeper.on_news(news, secs(105), now);
    assert!(keeper.view().evidence.is_fresh(secs(108), LIMIT));
    assert!(!keeper.view().evidence.is_fresh(secs(109), LIMIT));
}

#[test]
fn a_target_that_goes_while_the_store_is_well_is_gone_at_once() {
    let now = Instant::now();
    let mut keeper = started(now);
    let news = StateNews {
        items: vec![StateItem::TargetGone(String::from("t1"))],
        revision: 11,
    };
    keeper.on_news(news, secs(101), now);
    assert_eq!(keeper.view().targets.len(), 1);
}

#[test]
fn targets_that_lapsed_during_an_outage_have_time_to_come_back() {
    let now = Instant::now();
    let mut keeper = started(now);
    keeper.on_fault(&WireFault::Refused(503), now);
    let gone = |id: &str| StateItem::TargetGone(id.to_string());
    let news = StateNews {
        items: vec![gone("t1"), gone("t2")],
        revision: 11,
    };
    keeper.on_news(news, secs(103), now);
    assert_eq!(keeper.view().targets.len(), 2);
    let back = StateNews {
        items: vec![target("t2")],
        revision: 12,
    };
    keeper.on_news(back, secs(104), now + secs(1));
    assert!(keeper.expire(now + secs(3)));
    let left: Vec<_> = keeper.view().targets.keys().collect();
    assert_eq!(left, ["t2"]);
}

#[test]
fn lost_history_is_read_anew_and_pauses_grow() {
    let now = Instant::now();
    let mut keeper = started(now);
    keeper.on_fault(&WireFault::HistoryGone, now);
    assert_eq!(keeper.next_order(), (StoreOrder::Read { after: None }, now));
    let mut pauses = Vec::new();
    for _ in 0..5 {
        keeper.on_fault(&WireFault::Refused(429), now);
        pauses.push(keeper.next_order().1 - now);
    }
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(pauses[4] <= secs(1));
}

fn news(items: Vec<StateItem>, revision: u64) -> StateNews {
    StateNews { items, revision }
}

#[test]
fn peers_that_know_no_more_make_the_evidence_younger() {
    let now = Instant::now();
    let mut keeper = started(now);
    assert_eq!(keeper.on_peer(10, secs(104)), PeerWord::Known);
    let age = |keeper: &StateKeeper| keeper.view().evidence.age(secs(105));
    assert_eq!(age(&keeper), Some(secs(1)));
    assert_eq!(keeper.on_peer(11, secs(105)), PeerWord::Behind);
    assert_eq!(
        age(&keeper),
        Some(secs(1)),
        "what the peer knows is not known here"
    );
    assert_eq!(keeper.on_peer(9, secs(103)), PeerWord::Known);
    assert_eq!(age(&keeper), Some(secs(1)), "older word changes nothing");
}

#[test]
fn peers_count_only_while_changes_are_watched() {
    let now = Instant::now();
    let mut keeper = started(now);
    keeper.on_fault(&WireFault::HistoryGone, now);
    assert_eq!(keeper.check_order(), None);
    assert_eq!(keeper.on_peer(10, secs(104)), PeerWord::Known);
    assert_eq!(keeper.view().evidence.age(secs(105)), Some(secs(5)));
}

#[test]
fn check_that_was_overtaken_takes_nothing_back() {
    let now = Instant::now();
    let mut keeper = started(now);
    keeper.on_news(
        news(vec![StateItem::TargetGone(String::from("t1"))], 12),
        secs(101),
        now,
    );
    assert!(!keeper.on_check(news(vec![target("t1")], 11), secs(102), now));
    assert!(!keeper.view().targets.contains_key("t1"));
    assert_eq!(keeper.view().evidence.age(secs(103)), Some(secs(1)));
}

#[test]
fn check_that_brings_changes_says_so() {
    let now = Instant::now();
    let mut keeper = started(now);
    assert!(keeper.on_check(news(vec![plan(5)], 13), secs(102), now));
    assert_eq!(keeper.view().plan.as_ref().unwrap().version, 5);
    assert!(!keeper.on_check(news(vec![], 13), secs(103), now));
}

#[test]
fn targets_that_were_lost_while_checks_failed_are_kept_until_they_had_time() {
    let now = Instant::now();
    let mut keeper = started(now);
    let fault = WireFault::Malformed(String::from("silent"));
    assert!(!keeper.on_check_fault(&fault, now));
    keeper.on_news(
        news(vec![StateItem::TargetGone(String::from("t1"))], 12),
        secs(101),
        now,
    );
    assert!(keeper.view().targets.contains_key("t1"));
    keeper.expire(now + secs(3));
    assert!(!keeper.view().targets.contains_key("t1"));
}
