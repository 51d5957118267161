//! Tests which hosts of a fleet ask the store and which ask their peers for younger evidence.

use {
    board::{
        AgedHostRecord, EvidenceRefresher, GossipMessage, GossipSettings, HostRecord, HostTable,
        RefreshDecision,
    },
    std::time::{Duration, Instant},
};

const EVIDENCE_LIMIT: Duration = Duration::from_millis(4_500);
const HOST_COUNT: u16 = 30;

fn record(number: u16) -> HostRecord {
    HostRecord {
        host: format!("h{number}"),
        data_centre: String::from("z"),
        incarnation: u64::from(number),
        sequence: 1,
        callers: ([10, 0, 0, 1], 1_000 + number).into(),
        peers: ([10, 0, 0, 1], 2_000 + number).into(),
        hops: "127.0.0.1:3".parse().unwrap(),
        core_share: 250,
        ready: true,
        reaches_targets: true,
        leaving: false,
        settled: true,
        plan_version: 3,
        loads: Vec::new(),
        pools: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Returns the table of one host that has heard of all others.
fn host_table(number: u16, now: Instant) -> HostTable {
    let mut hosts = HostTable::new(GossipSettings::default(), record(number), [], 7);
    let others = (0..HOST_COUNT).filter(|other| *other != number);
    let records = others.map(|other| AgedHostRecord {
        record: record(other),
        age: Duration::ZERO,
    });
    let message = GossipMessage {
        records: records.collect(),
        heartbeats: Vec::new(),
        asked: Vec::new(),
    };
    hosts.receive(message, now);
    hosts
}

fn decisions_at_age(age_ms: u64) -> Vec<RefreshDecision> {
    let now = Instant::now();
    let age = Some(Duration::from_millis(age_ms));
    let hosts = 0..HOST_COUNT;
    hosts
        .map(|number| {
            let mut refresher = EvidenceRefresher::new(EVIDENCE_LIMIT, u64::from(number));
            refresher.decide_refresh(Some(Duration::ZERO), &host_table(number, now), now);
            refresher.decide_refresh(age, &host_table(number, now), now)
        })
        .collect()
}

fn count_store_checks(decisions: &[RefreshDecision]) -> usize {
    let checks = decisions.iter().filter(|decision| decision.check_store);
    checks.count()
}

#[test]
fn fresh_evidence_is_not_renewed() {
    assert!(
        decisions_at_age(300)
            .iter()
            .all(|decision| *decision == RefreshDecision::default())
    );
}

#[test]
fn few_hosts_ask_the_store_and_the_others_ask_these() {
    let decisions = decisions_at_age(1_200);
    let checkers: Vec<u16> = (0..HOST_COUNT)
        .filter(|number| decisions[usize::from(*number)].check_store)
        .collect();
    assert_eq!(checkers.len(), 3);
    let checker_addresses: Vec<_> = checkers
        .iter()
        .map(|number| record(*number).peers)
        .collect();
    for decision in decisions.iter().filter(|decision| !decision.check_store) {
        assert!(
            decision
                .ask_peer
                .is_some_and(|asked| checker_addresses.contains(&asked))
        );
    }
}

#[test]
fn every_host_asks_the_store_when_peers_do_not_help() {
    let decisions = decisions_at_age(2_300);
    assert_eq!(count_store_checks(&decisions), usize::from(HOST_COUNT));
    let asking = decisions
        .iter()
        .filter(|decision| decision.ask_peer.is_some());
    assert_eq!(
        asking.count(),
        usize::from(HOST_COUNT),
        "a checker that does not reach the store asks a peer too"
    );
}

#[test]
fn nothing_is_asked_before_the_first_read_of_the_store() {
    let now = Instant::now();
    let mut refresher = EvidenceRefresher::new(EVIDENCE_LIMIT, 1);
    assert_eq!(
        refresher.decide_refresh(None, &host_table(1, now), now),
        RefreshDecision::default()
    );
}
