//! Single cases, each written out.

mod peers;

use {
    base::{HostList, HostState, TargetMark},
    member::{MemberAction, MemberEvent, MemberTable, TargetStrike},
    peers::{HOSTS, about, heartbeat, row, state, table},
    stamp::HybridTime,
    std::time::{Duration, Instant},
    wire::{MarkSource, PeerRumour, StrikeVictim},
};

#[test]
fn a_later_process_is_welcome_under_a_stale_mark() {
    let mut now = Instant::now();
    let mut table = table(now);
    let hear = |table: &mut MemberTable, start, now| {
        table.on_datagram(
            heartbeat(about(1, start, false), Vec::new()),
            String::from("x"),
            now,
        )
    };
    hear(&mut table, 5, now);
    for leaving in [false, true] {
        let list = HostList {
            hosts: vec![row(1, state(leaving))],
            targets: Vec::new(),
        };
        table.on_host_list(list, HybridTime::default(), now);
        now += Duration::from_secs(20);
    }
    assert!(!table.is_live_entry("h1"));
    hear(&mut table, 6, now);
    assert!(table.is_live_entry("h1"));
    let list = HostList {
        hosts: vec![row(1, HostState::Leaving)],
        targets: Vec::new(),
    };
    table.on_host_list(list, HybridTime::default(), now);
    assert!(
        table.is_live_entry("h1"),
        "the mark is about the process before"
    );
}

#[test]
fn a_late_mark_on_a_young_process_is_not_bound_to_it() {
    let mut now = Instant::now();
    let mut table = table(now);
    let hear = |table: &mut MemberTable, start, now| {
        table.on_datagram(
            heartbeat(about(1, start, false), Vec::new()),
            String::from("x"),
            now,
        )
    };
    let show = |table: &mut MemberTable, leaving, now| {
        let list = HostList {
            hosts: vec![row(1, state(leaving))],
            targets: Vec::new(),
        };
        table.on_host_list(list, HybridTime::default(), now);
        table.on_tick(now);
    };
    hear(&mut table, 5, now);
    show(&mut table, false, now);
    now += Duration::from_secs(60);
    hear(&mut table, 6, now);
    now += Duration::from_secs(1);
    show(&mut table, true, now);
    assert!(!table.is_live_entry("h1"), "leaving wins for now");
    for _ in 0..40 {
        now += Duration::from_secs(1);
        hear(&mut table, 6, now);
        show(&mut table, false, now);
    }
    assert!(
        table.is_live_entry("h1"),
        "the mark was about the process before"
    );
}

#[test]
fn an_operator_clears_every_mark_against_late_lists() {
    let now = Instant::now();
    let mut table = table(now);
    let list = |leaving| {
        let mark = TargetMark {
            target: String::from("t1"),
            state: state(leaving),
        };
        HostList {
            hosts: Vec::new(),
            targets: vec![mark],
        }
    };
    table.on_host_list(list(false), HybridTime::new(1, 0), now);
    table.mark_target_leaving("t1", MarkSource::Target, HybridTime::new(2, 0), now);
    table.mark_target_leaving("t1", MarkSource::Operator, HybridTime::new(3, 0), now);
    table.clear_target_leaving("t1", HybridTime::new(4, 0), now);
    assert!(!table.is_target_leaving("t1"));
    table.on_host_list(
        list(true),
        HybridTime::new(5, 0),
        now + Duration::from_secs(1),
    );
    assert!(
        !table.is_target_leaving("t1"),
        "a list that lags shows the old mark"
    );
    table.on_host_list(
        list(false),
        HybridTime::new(6, 0),
        now + Duration::from_secs(30),
    );
    table.on_host_list(
        list(true),
        HybridTime::new(7, 0),
        now + Duration::from_secs(60),
    );
    assert!(table.is_target_leaving("t1"), "a new mark counts");
}

#[test]
fn strikes_of_all_targets_add_up_until_cleared() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(60);
    let mut table = table(now);
    let print = [7; 16];
    let own = StrikeVictim {
        target: 3,
        stage: 0,
    };
    let seen = |table: &mut MemberTable, at| {
        let strike = TargetStrike {
            fingerprint: print,
            victim: own,
            strikes: 1,
            expires,
        };
        table.record_strike(strike, HybridTime::new(at, 0), now)
    };
    assert_eq!(seen(&mut table, 5), 1);
    let strike = PeerRumour::Strike {
        fingerprint: print,
        victim: StrikeVictim {
            target: 8,
            stage: 0,
        },
        strikes: 1,
        at: HybridTime::new(6, 0),
        remaining_ms: 90_000,
    };
    let message = heartbeat(about(1, 1, false), vec![strike.clone(), strike.clone()]);
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(table.strikes(&print, now), 2);
    assert_eq!(table.strikes(&print, now + Duration::from_secs(70)), 1);
    assert_eq!(table.strikes(&print, now + Duration::from_secs(100)), 0);
    table.clear_strikes(print, HybridTime::new(7, 0), expires, now);
    let message = heartbeat(about(1, 1, false), vec![strike]);
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(table.strikes(&print, now), 0, "an old strike came back");
    assert_eq!(seen(&mut table, 8), 1);
}

#[test]
fn one_death_that_several_saw_counts_once() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(60);
    let mut table = table(now);
    let (print, victim) = (
        [7; 16],
        StrikeVictim {
            target: 3,
            stage: 0,
        },
    );
    let strike = TargetStrike {
        fingerprint: print,
        victim,
        strikes: 1,
        expires,
    };
    table.record_strike(strike, HybridTime::new(5, 0), now);
    let told = |strikes, at| PeerRumour::Strike {
        fingerprint: print,
        victim,
        strikes,
        at: HybridTime::new(at, 0),
        remaining_ms: 60_000,
    };
    let message = heartbeat(about(1, 1, false), vec![told(1, 6)]);
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(table.strikes(&print, now), 1);
    assert_eq!(table.peer_strikes(now), [], "it was seen here as well");
    let message = heartbeat(about(1, 1, false), vec![told(2, 7)]);
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(table.strikes(&print, now), 2, "the target died once more");
    assert_eq!(table.peer_strikes(now).len(), 1);
}

#[test]
fn a_paused_process_suspects_no_one_at_once() {
    let mut now = Instant::now();
    let mut table = table(now);
    let hosts = (1..HOSTS).map(|host| row(host, HostState::Live)).collect();
    table.on_host_list(
        HostList {
            hosts,
            targets: Vec::new(),
        },
        HybridTime::default(),
        now,
    );
    table.on_tick(now);
    now += Duration::from_secs(3_600);
    let woken = table.on_tick(now);
    assert!(
        woken
            .iter()
            .any(|action| matches!(action, MemberAction::Changed(MemberEvent::Paused { .. })))
    );
    for _ in 0..35 {
        now += Duration::from_millis(100);
        let actions = table.on_tick(now);
        let suspect = |action: &MemberAction| {
            matches!(action, MemberAction::Changed(MemberEvent::Suspect { .. }))
        };
        assert!(!actions.iter().any(suspect));
    }
    assert_eq!(table.live_entries().len(), HOSTS);
}
