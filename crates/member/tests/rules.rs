//! Rules that hold in every order of events.

mod peers;

use {
    base::{HostList, TargetStatus},
    member::{MemberAction, MemberSettings, MemberTable},
    peers::{HOSTS, about, heartbeat, row, state, table},
    proptest::{prelude::*, test_runner::RngSeed},
    stamp::HybridTime,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES, MarkSource, PeerIdentity, PeerMessage, PeerRumour},
};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6d65_6d62),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Something that happens to a table.
#[derive(Debug, Clone)]
enum Happening {
    List(Vec<(usize, bool)>),
    Heartbeat(usize, u64, bool),
    Rumour(usize, u64, u8),
    Tick(u64),
    Wait(u64),
    Ack(usize, u64, u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    let incarnation = 1..4_u64;
    prop_oneof![
        prop::collection::vec((0..HOSTS, any::<bool>()), 0..HOSTS).prop_map(Happening::List),
        (0..HOSTS, incarnation.clone(), prop::bool::weighted(0.2))
            .prop_map(|(host, start, leaving)| Happening::Heartbeat(host, start, leaving)),
        (1..HOSTS, incarnation.clone(), 0..4_u8)
            .prop_map(|(host, start, kind)| Happening::Rumour(host, start, kind)),
        (0..40_000_u64).prop_map(Happening::Tick),
        (1..100_u64).prop_map(Happening::Wait),
        (1..HOSTS, incarnation, any::<u64>())
            .prop_map(|(host, start, nonce)| Happening::Ack(host, start, nonce)),
    ]
}

/// What a table has been told, as a plain record to compare it with.
#[derive(Default)]
struct Told {
    leaving: BTreeSet<(String, u64)>,
    latest: BTreeMap<String, u64>,
}

impl Told {
    fn note(&mut self, key: &PeerIdentity, leaving: bool) {
        if leaving {
            self.leaving.insert((key.host.clone(), key.incarnation));
        }
    }

    fn check(&mut self, table: &MemberTable, now: Instant) {
        for member in table.members(now) {
            let entry = member.entry;
            // A forgotten host that a list names again has no incarnation until it is heard of.
            if entry.incarnation == 0 {
                continue;
            }
            let latest = self.latest.entry(entry.host).or_default();
            assert!(entry.incarnation >= *latest, "incarnation went back");
            *latest = entry.incarnation;
        }
        for entry in table.live_entries() {
            let known = self.latest.get(&entry.host).copied().unwrap_or_default();
            let start = entry.incarnation.max(known);
            let later = |key: &&(String, u64)| key.0 == entry.host && key.1 >= start;
            let back = self.leaving.iter().any(|key| later(&key));
            assert!(!back, "{} came back", entry.host);
        }
    }
}

fn happen(
    table: &mut MemberTable,
    told: &mut Told,
    happening: Happening,
    now: &mut Instant,
) -> Vec<MemberAction> {
    match happening {
        Happening::List(rows) => {
            let hosts = rows
                .iter()
                .map(|&(host, leaving)| row(host, state(leaving)));
            let list = HostList {
                hosts: hosts.collect(),
                targets: Vec::new(),
            };
            table.on_host_list(list, HybridTime::default(), *now)
        }
        Happening::Heartbeat(host, start, leaving) => {
            let sender = about(host, start, leaving);
            if host > 0 {
                told.note(&sender.identity(), leaving);
            }
            table.on_datagram(
                heartbeat(sender, Vec::new()),
                format!("10.0.0.{host}:81"),
                *now,
            )
        }
        Happening::Rumour(host, start, kind) => {
            let key = about(host, start, false).identity();
            told.note(&key, kind == 0);
            let rumour = match kind {
                0 => PeerRumour::HostLeaving(key),
                1 => PeerRumour::HostSuspect(key),
                2 => PeerRumour::HostRevived(key),
                _ => PeerRumour::Member(about(host, start, false)),
            };
            let sender = about(HOSTS, 1, false);
            table.on_datagram(
                heartbeat(sender, vec![rumour]),
                String::from("10.0.0.5:81"),
                *now,
            )
        }
        Happening::Tick(milliseconds) => {
            *now += Duration::from_millis(milliseconds);
            table.on_tick(*now)
        }
        Happening::Wait(seconds) => {
            let mut actions = Vec::new();
            for _ in 0..2 * seconds {
                *now += Duration::from_millis(500);
                actions.extend(table.on_tick(*now));
            }
            actions
        }
        Happening::Ack(host, start, nonce) => {
            let sender = about(host, start, false).identity();
            table.on_datagram(
                PeerMessage::ProbeAck { sender, nonce },
                String::from("x"),
                *now,
            )
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn leaving_is_never_undone(happenings in prop::collection::vec(happening(), 1..120)) {
        let mut now = Instant::now();
        let mut table = table(now);
        let mut told = Told::default();
        for happening in happenings {
            let actions = happen(&mut table, &mut told, happening, &mut now);
            for action in actions {
                if let MemberAction::Send { message, .. } = action {
                    prop_assert!(DatagramSeal::sealed_bytes(&message) <= MAX_DATAGRAM_BYTES);
                }
            }
            told.check(&table, now);
        }
    }

    /// Whatever lists show, only one that showed the mark and then the target live for the hold
    /// takes the mark back.
    #[test]
    fn stale_lists_bring_no_target_back(
        lists in prop::collection::vec((any::<bool>(), any::<bool>(), 0..12_000_u64), 1..60),
        source in prop::sample::select(vec![MarkSource::Operator, MarkSource::Sheet, MarkSource::Target]),
    ) {
        let hold = MemberSettings::default().live_hold;
        let mut now = Instant::now();
        let mut table = table(now);
        table.mark_target_leaving("t1", source, HybridTime::new(50, 0), now);
        let mut shown = false;
        let mut live_since: Option<Instant> = None;
        for (named, leaving, gap) in lists {
            now += Duration::from_millis(gap);
            shown |= named && leaving;
            live_since = match (named, leaving) {
                (true, false) => live_since.or(Some(now)),
                _ => None,
            };
            let mark = TargetStatus { target: String::from("t1"), state: state(leaving) };
            let targets = Vec::from_iter(named.then_some(mark));
            let list = HostList { hosts: Vec::new(), targets };
            table.on_host_list(list, HybridTime::new(100, 0), now);
            table.on_tick(now);
            let over = shown && live_since.is_some_and(|since| now - since >= hold);
            let may_be_back = source == MarkSource::Target && over;
            prop_assert!(table.is_target_leaving("t1") || may_be_back);
            if may_be_back {
                break;
            }
        }
    }

    /// Tables that got the same words in different orders end up the same.
    #[test]
    fn words_on_targets_commute(
        words in prop::collection::vec((0..3_usize, 0..4_usize, 1..20_u64, any::<bool>()), 0..40),
        order in any::<prop::sample::Index>(),
    ) {
        let sources = [MarkSource::HostList, MarkSource::Sheet, MarkSource::Operator, MarkSource::Target];
        let now = Instant::now();
        let mut unique = BTreeMap::new();
        for (target, source, since, clear) in words {
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
        let mut other = rumours.clone();
        other.reverse();
        if !other.is_empty() {
            let middle = order.index(other.len());
            other.rotate_left(middle);
        }
        let told = [rumours, other].map(|rumours| {
            let mut table = table(now);
            for rumour in rumours {
                let message = heartbeat(about(1, 1, false), vec![rumour]);
                table.on_datagram(message, String::from("10.0.0.1:81"), now);
            }
            table.leaving_targets()
        });
        prop_assert_eq!(&told[0], &expected);
        prop_assert_eq!(&told[1], &expected);
    }
}
