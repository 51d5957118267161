//! Properties that hold for every sequence of events, checked with generated ones.

mod peers;

use {
    base::{HostList, ListedTarget},
    member::{MemberAction, MemberSettings, MemberTable},
    peers::{HOSTS, describe_member, heartbeat, host_state, list_row, new_table},
    proptest::{prelude::*, test_runner::RngSeed},
    stamp::HybridTime,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES, MarkSource, PeerIdentity, PeerMessage, PeerRumour},
};

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6d65_6d62),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generated event that a table handles.
#[derive(Debug, Clone)]
enum TableEvent {
    /// Host list: hosts, and whether each is marked as leaving.
    List(Vec<(usize, bool)>),
    /// Heartbeat of a host: incarnation, and whether it is leaving.
    Heartbeat(usize, u64, bool),
    /// Rumour about a host: incarnation, and which kind.
    Rumour(usize, u64, u8),
    /// One tick after this many milliseconds.
    Tick(u64),
    /// Ticks every 500 ms for this many seconds.
    Wait(u64),
    /// Answer to a probe from a host: incarnation and nonce.
    Ack(usize, u64, u64),
}

fn table_event() -> impl Strategy<Value = TableEvent> {
    let incarnation = 1..4_u64;
    prop_oneof![
        prop::collection::vec((0..HOSTS, any::<bool>()), 0..HOSTS).prop_map(TableEvent::List),
        (0..HOSTS, incarnation.clone(), prop::bool::weighted(0.2)).prop_map(
            |(host, incarnation, leaving)| TableEvent::Heartbeat(host, incarnation, leaving)
        ),
        (1..HOSTS, incarnation.clone(), 0..4_u8)
            .prop_map(|(host, incarnation, kind)| TableEvent::Rumour(host, incarnation, kind)),
        (0..40_000_u64).prop_map(TableEvent::Tick),
        (1..100_u64).prop_map(TableEvent::Wait),
        (1..HOSTS, incarnation, any::<u64>())
            .prop_map(|(host, incarnation, nonce)| TableEvent::Ack(host, incarnation, nonce)),
    ]
}

/// What the table must not contradict: the incarnations that events reported as leaving, and the
/// latest incarnation that the table has shown of each host.
#[derive(Default)]
struct ReferenceModel {
    leaving: BTreeSet<(String, u64)>,
    latest: BTreeMap<String, u64>,
}

impl ReferenceModel {
    fn record_leaving(&mut self, identity: &PeerIdentity, leaving: bool) {
        if leaving {
            self.leaving
                .insert((identity.host.clone(), identity.incarnation));
        }
    }

    fn assert_matches(&mut self, table: &MemberTable, now: Instant) {
        for member in table.members(now) {
            let entry = member.entry;
            // A removed host that the list names again has no incarnation until it sends a message.
            if entry.incarnation == 0 {
                continue;
            }
            let latest = self.latest.entry(entry.host).or_default();
            assert!(entry.incarnation >= *latest, "the incarnation went back");
            *latest = entry.incarnation;
        }
        for entry in table.live_entries() {
            let known = self.latest.get(&entry.host).copied().unwrap_or_default();
            let incarnation = entry.incarnation.max(known);
            let is_same_or_later =
                |left: &&(String, u64)| left.0 == entry.host && left.1 >= incarnation;
            let is_live_again = self.leaving.iter().any(|left| is_same_or_later(&left));
            assert!(
                !is_live_again,
                "{} is live again after it was leaving",
                entry.host
            );
        }
    }
}

fn apply_event(
    table: &mut MemberTable,
    model: &mut ReferenceModel,
    table_event: TableEvent,
    now: &mut Instant,
) -> Vec<MemberAction> {
    match table_event {
        TableEvent::List(rows) => {
            let hosts = rows
                .iter()
                .map(|&(host, leaving)| list_row(host, host_state(leaving)));
            let list = HostList {
                hosts: hosts.collect(),
                targets: Vec::new(),
            };
            table.on_host_list(list, HybridTime::default(), *now)
        }
        TableEvent::Heartbeat(host, incarnation, leaving) => {
            let sender = describe_member(host, incarnation, leaving);
            if host > 0 {
                model.record_leaving(&sender.identity(), leaving);
            }
            table.on_datagram(
                heartbeat(sender, Vec::new()),
                format!("10.0.0.{host}:81"),
                *now,
            )
        }
        TableEvent::Rumour(host, incarnation, kind) => {
            let identity = describe_member(host, incarnation, false).identity();
            model.record_leaving(&identity, kind == 0);
            let rumour = match kind {
                0 => PeerRumour::HostLeaving(identity),
                1 => PeerRumour::HostSuspect(identity),
                2 => PeerRumour::HostRevived(identity),
                _ => PeerRumour::Member(describe_member(host, incarnation, false)),
            };
            let sender = describe_member(HOSTS, 1, false);
            table.on_datagram(
                heartbeat(sender, vec![rumour]),
                String::from("10.0.0.5:81"),
                *now,
            )
        }
        TableEvent::Tick(milliseconds) => {
            *now += Duration::from_millis(milliseconds);
            table.on_tick(*now)
        }
        TableEvent::Wait(seconds) => {
            let mut actions = Vec::new();
            for _ in 0..2 * seconds {
                *now += Duration::from_millis(500);
                actions.extend(table.on_tick(*now));
            }
            actions
        }
        TableEvent::Ack(host, incarnation, nonce) => {
            let sender = describe_member(host, incarnation, false).identity();
            table.on_datagram(
                PeerMessage::ProbeAck { sender, nonce },
                String::from("x"),
                *now,
            )
        }
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards against an incarnation that is live again after it said that it is leaving, or that
    /// goes back to an earlier one, and against datagrams above the size limit.
    #[test]
    fn leaving_is_never_undone(table_events in prop::collection::vec(table_event(), 1..120)) {
        let mut now = Instant::now();
        let mut table = new_table(now);
        let mut model = ReferenceModel::default();
        for table_event in table_events {
            let actions = apply_event(&mut table, &mut model, table_event, &mut now);
            for action in actions {
                if let MemberAction::Send { message, .. } = action {
                    prop_assert!(DatagramSeal::sealed_bytes(&message) <= MAX_DATAGRAM_BYTES);
                }
            }
            model.assert_matches(&table, now);
        }
    }

    /// Guards against lists that clear a mark although they lag behind it. Lists clear a target's own
    /// mark only after they showed the mark and then showed the target as live for the hold time.
    #[test]
    fn stale_lists_clear_no_target_mark(
        lists in prop::collection::vec((any::<bool>(), any::<bool>(), 0..12_000_u64), 1..60),
        source in prop::sample::select(vec![MarkSource::Operator, MarkSource::Sheet, MarkSource::Target]),
    ) {
        let hold = MemberSettings::default().live_hold;
        let mut now = Instant::now();
        let mut table = new_table(now);
        table.mark_target_leaving("t1", source, HybridTime::new(50, 0), now);
        let mut was_shown_leaving = false;
        let mut live_since: Option<Instant> = None;
        for (is_listed, leaving, gap_ms) in lists {
            now += Duration::from_millis(gap_ms);
            was_shown_leaving |= is_listed && leaving;
            live_since = match (is_listed, leaving) {
                (true, false) => live_since.or(Some(now)),
                _ => None,
            };
            let row = ListedTarget { target: String::from("t1"), state: host_state(leaving) };
            let targets = Vec::from_iter(is_listed.then_some(row));
            let list = HostList { hosts: Vec::new(), targets };
            table.on_host_list(list, HybridTime::new(100, 0), now);
            table.on_tick(now);
            let is_withdrawn =
                was_shown_leaving && live_since.is_some_and(|since| now - since >= hold);
            let may_be_cleared = source == MarkSource::Target && is_withdrawn;
            prop_assert!(table.is_target_leaving("t1") || may_be_cleared);
            if may_be_cleared {
                break;
            }
        }
    }

    /// Guards against members that disagree for good: tables that get the same rumours about targets
    /// in different orders must reach the same state.
    #[test]
    fn target_rumours_commute(
        statements in prop::collection::vec((0..3_usize, 0..4_usize, 1..20_u64, any::<bool>()), 0..40),
        rotation in any::<prop::sample::Index>(),
    ) {
        let sources = [MarkSource::HostList, MarkSource::Sheet, MarkSource::Operator, MarkSource::Target];
        let now = Instant::now();
        let mut unique = BTreeMap::new();
        for (target, source, since, clear) in statements {
            unique.insert((target, source, since), clear);
        }
        let mut latest = BTreeMap::new();
        for ((target, source, _), clear) in &unique {
            latest.insert((*target, *source), *clear);
        }
        let marked = latest.iter().filter(|(_, clear)| !**clear);
        let expected: BTreeSet<_> = marked.map(|((target, _), _)| format!("t{target}")).collect();
        let rumours: Vec<_> = unique.into_iter().map(|((target, source, since), clear)| {
            PeerRumour::TargetLeaving {
                target: format!("t{target}"),
                source: sources[source],
                since: HybridTime::new(since, 0),
                clear,
            }
        }).collect();
        let mut reordered = rumours.clone();
        reordered.reverse();
        if !reordered.is_empty() {
            let middle = rotation.index(reordered.len());
            reordered.rotate_left(middle);
        }
        let leaving_targets = [rumours, reordered].map(|rumours| {
            let mut table = new_table(now);
            for rumour in rumours {
                let message = heartbeat(describe_member(1, 1, false), vec![rumour]);
                table.on_datagram(message, String::from("10.0.0.1:81"), now);
            }
            table.leaving_targets()
        });
        prop_assert_eq!(&leaving_targets[0], &expected);
        prop_assert_eq!(&leaving_targets[1], &expected);
    }
}
