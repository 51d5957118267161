//! Single cases of list marks, target marks, strikes and pauses.

mod peers;

use {
    base::{HostList, HostState, ListedTarget},
    member::{MemberAction, MemberEvent, MemberTable, TargetStrike},
    peers::{HOSTS, describe_member, heartbeat, host_state, list_row, new_table},
    stamp::HybridTime,
    std::time::{Duration, Instant},
    wire::{MarkSource, PeerRumour, StrikeVictim},
};

/// Guards against a leaving mark that excludes a restarted process: the host list shows the mark on
/// the previous process for some time after the restart.
#[test]
fn stale_mark_does_not_exclude_a_later_process() {
    let mut now = Instant::now();
    let mut table = new_table(now);
    let send_heartbeat = |table: &mut MemberTable, incarnation, now| {
        table.on_datagram(
            heartbeat(describe_member(1, incarnation, false), Vec::new()),
            String::from("x"),
            now,
        )
    };
    send_heartbeat(&mut table, 5, now);
    for leaving in [false, true] {
        let list = HostList {
            hosts: vec![list_row(1, host_state(leaving))],
            targets: Vec::new(),
        };
        table.on_host_list(list, HybridTime::default(), now);
        // Longer than the list may lag, so that the mark is bound to incarnation 5.
        now += Duration::from_secs(20);
    }
    assert!(!table.is_live_entry("h1"));
    send_heartbeat(&mut table, 6, now);
    assert!(table.is_live_entry("h1"));
    let list = HostList {
        hosts: vec![list_row(1, HostState::Leaving)],
        targets: Vec::new(),
    };
    table.on_host_list(list, HybridTime::default(), now);
    assert!(
        table.is_live_entry("h1"),
        "the mark concerns the previous process"
    );
}

/// Guards against a mark that excludes a process for good: a list that lags shows the mark on the
/// previous process only after the restart. Such a mark is cleared once the list has shown the host
/// as live again for the hold time.
#[test]
fn late_mark_is_not_bound_to_a_young_process() {
    let mut now = Instant::now();
    let mut table = new_table(now);
    let send_heartbeat = |table: &mut MemberTable, incarnation, now| {
        table.on_datagram(
            heartbeat(describe_member(1, incarnation, false), Vec::new()),
            String::from("x"),
            now,
        )
    };
    let apply_list = |table: &mut MemberTable, leaving, now| {
        let list = HostList {
            hosts: vec![list_row(1, host_state(leaving))],
            targets: Vec::new(),
        };
        table.on_host_list(list, HybridTime::default(), now);
        table.on_tick(now);
    };
    send_heartbeat(&mut table, 5, now);
    apply_list(&mut table, false, now);
    now += Duration::from_secs(60);
    send_heartbeat(&mut table, 6, now);
    now += Duration::from_secs(1);
    apply_list(&mut table, true, now);
    assert!(
        !table.is_live_entry("h1"),
        "a mark that is bound to no process takes effect until the list withdraws it"
    );
    // The list shows the host as live for 40 s, longer than the hold time of 30 s.
    for _ in 0..40 {
        now += Duration::from_secs(1);
        send_heartbeat(&mut table, 6, now);
        apply_list(&mut table, false, now);
    }
    assert!(
        table.is_live_entry("h1"),
        "the mark concerned the previous process"
    );
}

/// Guards against a host list that brings back a mark which an operator cleared: a list that lags
/// shows the old mark for some time. A mark that appears later is new and takes effect.
#[test]
fn lagging_list_does_not_restore_a_cleared_mark() {
    let now = Instant::now();
    let mut table = new_table(now);
    let list = |leaving| {
        let target_row = ListedTarget {
            target: String::from("t1"),
            state: host_state(leaving),
        };
        HostList {
            hosts: Vec::new(),
            targets: vec![target_row],
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
        "a lagging list restored the cleared mark"
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
    assert!(table.is_target_leaving("t1"), "a new mark takes effect");
}

/// Strikes against one request add up over its targets, and each expires by itself. Guards against
/// double counting of a repeated rumour, and against a rumour from before a success that restores
/// cleared strikes.
#[test]
fn strikes_of_all_targets_add_up_until_cleared() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(60);
    let mut table = new_table(now);
    let fingerprint = [7; 16];
    let own_victim = StrikeVictim {
        target: 3,
        stage: 0,
    };
    let record_strike_at = |table: &mut MemberTable, at| {
        let strike = TargetStrike {
            fingerprint,
            victim: own_victim,
            strikes: 1,
            expires,
        };
        table.record_strike(strike, HybridTime::new(at, 0), now)
    };
    assert_eq!(record_strike_at(&mut table, 5), 1);
    let strike = PeerRumour::Strike {
        fingerprint,
        victim: StrikeVictim {
            target: 8,
            stage: 0,
        },
        strikes: 1,
        at: HybridTime::new(6, 0),
        remaining_ms: 90_000,
    };
    let message = heartbeat(
        describe_member(1, 1, false),
        vec![strike.clone(), strike.clone()],
    );
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(table.strikes(&fingerprint, now), 2);
    // This daemon's strike expires after 60 s, the peer's after 90 s.
    assert_eq!(
        table.strikes(&fingerprint, now + Duration::from_secs(70)),
        1
    );
    assert_eq!(
        table.strikes(&fingerprint, now + Duration::from_secs(100)),
        0
    );
    table.clear_strikes(fingerprint, HybridTime::new(7, 0), expires, now);
    let message = heartbeat(describe_member(1, 1, false), vec![strike]);
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(
        table.strikes(&fingerprint, now),
        0,
        "a rumour restored a cleared strike"
    );
    assert_eq!(record_strike_at(&mut table, 8), 1);
}

/// Guards against double counting when several daemons observe the same death of a target; only a
/// higher count of the same victim is a further strike.
#[test]
fn death_observed_by_several_daemons_counts_once() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(60);
    let mut table = new_table(now);
    let (fingerprint, victim) = (
        [7; 16],
        StrikeVictim {
            target: 3,
            stage: 0,
        },
    );
    let strike = TargetStrike {
        fingerprint,
        victim,
        strikes: 1,
        expires,
    };
    table.record_strike(strike, HybridTime::new(5, 0), now);
    let strike_rumour = |strikes, at| PeerRumour::Strike {
        fingerprint,
        victim,
        strikes,
        at: HybridTime::new(at, 0),
        remaining_ms: 60_000,
    };
    let message = heartbeat(describe_member(1, 1, false), vec![strike_rumour(1, 6)]);
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(table.strikes(&fingerprint, now), 1);
    assert_eq!(table.peer_strikes(now), [], "this daemon observed it too");
    let message = heartbeat(describe_member(1, 1, false), vec![strike_rumour(2, 7)]);
    table.on_datagram(message, String::from("x"), now);
    assert_eq!(
        table.strikes(&fingerprint, now),
        2,
        "the target died once more"
    );
    assert_eq!(table.peer_strikes(now).len(), 1);
}

/// Guards against false suspicions after a pause: a process that was stopped has missed the answers
/// to its probes, so it suspects no peer while it only listens.
#[test]
fn paused_process_suspects_no_peer_at_once() {
    let mut now = Instant::now();
    let mut table = new_table(now);
    let hosts = (1..HOSTS)
        .map(|host| list_row(host, HostState::Live))
        .collect();
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
    let actions_after_pause = table.on_tick(now);
    assert!(
        actions_after_pause
            .iter()
            .any(|action| matches!(action, MemberAction::Changed(MemberEvent::Paused { .. })))
    );
    // 3.5 s, shorter than the 4 s in which the process only listens.
    for _ in 0..35 {
        now += Duration::from_millis(100);
        let actions = table.on_tick(now);
        let is_suspicion = |action: &MemberAction| {
            matches!(action, MemberAction::Changed(MemberEvent::Suspect { .. }))
        };
        assert!(!actions.iter().any(is_suspicion));
    }
    assert_eq!(table.live_entries().len(), HOSTS);
}
