//! Who asks the store, and who asks whom, so that all know soon what one knows.

use {
    board::{
        AgedHostRecord, EvidenceRefresher, GossipMessage, GossipSettings, HostRecord, HostTable,
        RefreshDecision,
    },
    std::time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_millis(4_500);
const HOSTS: u16 = 30;

fn note(number: u16) -> HostRecord {
    HostRecord {
        host: format!("h{number}"),
        incarnation: u64::from(number),
        sequence: 1,
        callers: ([10, 0, 0, 1], 1_000 + number).into(),
        peers: ([10, 0, 0, 1], 2_000 + number).into(),
        core_share: 250,
        ready: true,
        leaving: false,
        settled: true,
        plan_version: 3,
        loads: Vec::new(),
        pools: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Board of one host that has heard of all others.
fn board(number: u16, now: Instant) -> HostTable {
    let mut board = HostTable::new(GossipSettings::default(), note(number), [], 7);
    let others = (0..HOSTS).filter(|other| *other != number);
    let notes = others.map(|other| AgedHostRecord {
        record: note(other),
        age: Duration::ZERO,
    });
    let message = GossipMessage {
        records: notes.collect(),
        heartbeats: Vec::new(),
        asked: Vec::new(),
    };
    board.receive(message, now);
    board
}

fn steps(age_ms: u64) -> Vec<RefreshDecision> {
    let now = Instant::now();
    let age = Some(Duration::from_millis(age_ms));
    let hosts = 0..HOSTS;
    hosts
        .map(|number| {
            let mut desk = EvidenceRefresher::new(LIMIT, u64::from(number));
            desk.decide(Some(Duration::ZERO), &board(number, now), now);
            desk.decide(age, &board(number, now), now)
        })
        .collect()
}

fn checks(steps: &[RefreshDecision]) -> usize {
    let checks = steps.iter().filter(|step| step.check_store);
    checks.count()
}

#[test]
fn young_evidence_is_kept() {
    assert!(
        steps(300)
            .iter()
            .all(|step| *step == RefreshDecision::default())
    );
}

#[test]
fn few_hosts_ask_the_store_and_the_others_ask_them() {
    let steps = steps(1_200);
    let checkers: Vec<u16> = (0..HOSTS)
        .filter(|number| steps[usize::from(*number)].check_store)
        .collect();
    assert_eq!(checkers.len(), 3);
    let known: Vec<_> = checkers.iter().map(|number| note(*number).peers).collect();
    for step in steps.iter().filter(|step| !step.check_store) {
        assert!(step.ask_peer.is_some_and(|asked| known.contains(&asked)));
    }
}

#[test]
fn every_host_asks_the_store_when_peers_do_not_help() {
    let steps = steps(2_300);
    assert_eq!(checks(&steps), usize::from(HOSTS));
    let asking = steps.iter().filter(|step| step.ask_peer.is_some());
    assert_eq!(
        asking.count(),
        usize::from(HOSTS),
        "a checker that is cut off asks too"
    );
}

#[test]
fn nothing_is_asked_before_the_store_was_read() {
    let now = Instant::now();
    let mut desk = EvidenceRefresher::new(LIMIT, 1);
    assert_eq!(
        desk.decide(None, &board(1, now), now),
        RefreshDecision::default()
    );
}
