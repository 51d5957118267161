//! Guards against a daemon that puts an invalid or older sheet in force, serves under a stale one,
//! or fetches a refused sheet again and again. The events come in chosen and in random order, as
//! answers of peers and of the configuration service may.

mod common;

use {
    common::bundle_of,
    proptest::{prelude::*, test_runner::RngSeed},
    sheet::{SheetAction, SheetBundle, SheetEvent, SheetReport, SheetSource, SheetUpdater},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Longer than every timeout and pause of an updater.
const LONG_TIME: Duration = Duration::from_secs(5);

fn index_read(bundle: &SheetBundle) -> SheetEvent {
    SheetEvent::IndexRead {
        index: bundle.index.clone(),
    }
}

fn peer_sheet_seen(host: &str, bundle: &SheetBundle) -> SheetEvent {
    SheetEvent::PeerHasSheet {
        host: host.into(),
        version: bundle.index.version,
        digest: bundle.index.digest(),
    }
}

fn fetched(source: SheetSource, bundle: &SheetBundle) -> SheetEvent {
    SheetEvent::PartsFetched {
        source,
        bundle: bundle.clone(),
    }
}

fn from_service(bundle: &SheetBundle) -> SheetEvent {
    fetched(SheetSource::Service, bundle)
}

fn reports(actions: &[SheetAction]) -> Vec<&SheetReport> {
    let reports = actions.iter().filter_map(|action| match action {
        SheetAction::Report { report } => Some(report),
        _ => None,
    });
    reports.collect()
}

fn fetch_count(actions: &[SheetAction]) -> usize {
    let is_fetch = |action: &&SheetAction| {
        matches!(
            action,
            SheetAction::FetchParts { .. } | SheetAction::FetchFromPeer { .. }
        )
    };
    actions.iter().filter(is_fetch).count()
}

/// An updater without peers that has put the bundle in force.
fn updater_with(bundle: &SheetBundle, now: Instant) -> SheetUpdater {
    let mut updater = SheetUpdater::new("h0", now.checked_sub(LONG_TIME).unwrap());
    updater.handle(index_read(bundle), now);
    updater.handle(from_service(bundle), now);
    assert_eq!(updater.version(), bundle.index.version);
    updater
}

#[test]
fn invalid_sheet_is_reported_once_and_not_fetched_again() {
    let now = Instant::now();
    let mut updater = updater_with(&bundle_of(1, 0, true), now);
    let invalid = bundle_of(2, 0, false);
    assert_eq!(fetch_count(&updater.handle(index_read(&invalid), now)), 1);
    let actions = updater.handle(from_service(&invalid), now);
    assert!(
        matches!(reports(&actions)[..], [SheetReport::Refused { version: 2, errors, .. }]
        if errors.len() == 1)
    );
    for repeat in 1..20 {
        let later = now + LONG_TIME * repeat;
        assert_eq!(updater.handle(index_read(&invalid), later), []);
        assert_eq!(updater.handle(from_service(&invalid), later), []);
    }
    let corrected = bundle_of(2, 1, true);
    assert_eq!(
        fetch_count(&updater.handle(index_read(&corrected), now + LONG_TIME * 30)),
        1
    );
    updater.handle(from_service(&corrected), now + LONG_TIME * 30);
    assert_eq!(updater.version(), 2);
}

#[test]
fn refused_sheet_is_recognised_by_a_prefix_of_its_digest() {
    let now = Instant::now();
    let mut updater = updater_with(&bundle_of(1, 0, true), now);
    let invalid = bundle_of(2, 0, false);
    updater.handle(from_service(&invalid), now);
    let event = SheetEvent::PeerHasSheet {
        host: "h1".into(),
        version: 2,
        digest: invalid.index.digest()[..16].to_string(),
    };
    assert_eq!(updater.handle(event, now), []);
}

#[test]
fn empty_list_of_peers_does_not_end_the_startup_wait() {
    let now = Instant::now();
    let stale = bundle_of(5, 0, true);
    let mut updater = SheetUpdater::new("h0", now);
    updater.handle(SheetEvent::PeersListed { hosts: Vec::new() }, now);
    assert_eq!(updater.handle(index_read(&stale), now), []);
    assert_eq!(
        fetch_count(&updater.handle(SheetEvent::Tick, now + LONG_TIME)),
        1
    );
}

#[test]
fn parts_of_another_version_are_fetched_again() {
    let now = Instant::now();
    let mut updater = updater_with(&bundle_of(1, 0, true), now);
    let next = bundle_of(2, 0, true);
    let mismatched = SheetBundle {
        index: next.index.clone(),
        parts: bundle_of(3, 0, true).parts,
    };
    updater.handle(index_read(&next), now);
    let actions = updater.handle(from_service(&mismatched), now);
    assert!(matches!(
        reports(&actions)[..],
        [SheetReport::PartsMismatch { version: 2, .. }]
    ));
    assert_eq!(updater.version(), 1);
    let wakeup = updater.next_wakeup(now).unwrap();
    assert_eq!(fetch_count(&updater.handle(SheetEvent::Tick, wakeup)), 1);
    updater.handle(from_service(&next), wakeup);
    assert_eq!(updater.version(), 2);
}

#[test]
fn stale_index_or_second_digest_does_not_replace_the_sheet_in_force() {
    let now = Instant::now();
    let mut updater = updater_with(&bundle_of(5, 1, true), now);
    let (stale, other) = (bundle_of(4, 0, true), bundle_of(5, 0, true));
    let actions = updater.handle(index_read(&stale), now);
    let expected = SheetReport::StaleService {
        served: 4,
        in_force: 5,
    };
    assert_eq!(reports(&actions), [&expected]);
    assert_eq!(updater.handle(index_read(&stale), now), []);
    let actions = updater.handle(index_read(&other), now);
    assert!(matches!(
        reports(&actions)[..],
        [SheetReport::Conflict { version: 5, .. }]
    ));
    let digest = updater.digest().to_string();
    assert_eq!(updater.handle(from_service(&other), now), []);
    assert_eq!((updater.version(), updater.digest()), (5, digest.as_str()));
    let next = bundle_of(6, 0, true);
    updater.handle(index_read(&next), now);
    updater.handle(from_service(&next), now);
    assert_eq!(updater.version(), 6);
}

#[test]
fn starting_daemon_prefers_the_smaller_of_two_digests() {
    let now = Instant::now();
    let both = [bundle_of(3, 0, true), bundle_of(3, 1, true)];
    let smaller = both
        .iter()
        .min_by_key(|bundle| bundle.index.digest())
        .unwrap();
    for order in [[0, 1], [1, 0]] {
        let mut updater = SheetUpdater::new("h0", now);
        let hosts = vec!["h1".to_string(), "h2".to_string()];
        updater.handle(SheetEvent::PeersListed { hosts }, now);
        updater.handle(peer_sheet_seen("h1", &both[order[0]]), now);
        let actions = updater.handle(peer_sheet_seen("h2", &both[order[1]]), now);
        let smaller_digest_host = if both[order[0]] == *smaller {
            "h1"
        } else {
            "h2"
        };
        let expected = SheetAction::FetchFromPeer {
            host: smaller_digest_host.into(),
        };
        assert_eq!(actions, [expected]);
    }
}

#[test]
fn starting_daemon_waits_for_the_latest_seen_version() {
    let now = Instant::now();
    let (stale, newest) = (bundle_of(5, 0, true), bundle_of(7, 0, true));
    let mut updater = SheetUpdater::new("h0", now.checked_sub(LONG_TIME).unwrap());
    updater.handle(SheetEvent::SeenVersion { version: 7 }, now);
    let actions = updater.handle(index_read(&stale), now);
    assert_eq!(
        reports(&actions),
        [&SheetReport::LatestUnavailable { latest_version: 7 }]
    );
    assert_eq!(fetch_count(&actions), 0);
    assert_eq!(updater.handle(from_service(&stale), now + LONG_TIME), []);
    assert!(!updater.is_ready());
    updater.handle(index_read(&newest), now + LONG_TIME);
    updater.handle(from_service(&newest), now + LONG_TIME);
    assert!(updater.is_ready());
}

#[test]
fn daemon_is_unready_when_a_version_later_than_its_first_sheet_is_seen() {
    let now = Instant::now();
    let mut updater = updater_with(&bundle_of(5, 0, true), now);
    assert!(updater.is_ready());
    updater.handle(SheetEvent::SeenVersion { version: 7 }, now);
    assert!(!updater.is_ready());
    let newest = bundle_of(7, 0, true);
    updater.handle(fetched(SheetSource::Peer("h1".into()), &newest), now);
    assert!(updater.is_ready());
    updater.handle(SheetEvent::SeenVersion { version: 8 }, now);
    assert!(
        updater.is_ready(),
        "a daemon that has replaced its first sheet by a later one stays ready"
    );
}

#[test]
fn service_is_relied_on_only_after_the_peers_were_asked() {
    let now = Instant::now();
    let (stale, newest) = (bundle_of(5, 0, true), bundle_of(7, 0, true));
    let mut updater = SheetUpdater::new("h0", now);
    let hosts = vec!["h1".to_string(), "h2".to_string()];
    let actions = updater.handle(SheetEvent::PeersListed { hosts }, now);
    assert!(matches!(&actions[..], [SheetAction::AskPeers { hosts }] if hosts.len() == 2));
    assert_eq!(updater.handle(index_read(&stale), now), []);
    assert_eq!(updater.handle(peer_sheet_seen("h1", &stale), now), []);
    let actions = updater.handle(peer_sheet_seen("h2", &newest), now);
    assert_eq!(actions, [SheetAction::FetchFromPeer { host: "h2".into() }]);
}

/// One step of a random run: an event, or a wait in milliseconds.
#[derive(Debug, Clone)]
enum Step {
    Event(SheetEvent),
    Wait(u64),
}

fn any_bundle() -> impl Strategy<Value = SheetBundle> {
    (1..6_u64, 0..2_u8, prop::bool::weighted(0.8))
        .prop_map(|(version, variant, is_valid)| bundle_of(version, variant, is_valid))
}

fn any_source() -> impl Strategy<Value = SheetSource> {
    prop_oneof![
        Just(SheetSource::Service),
        (0..4_u8).prop_map(|number| SheetSource::Peer(format!("p{number}")))
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let host = || (0..4_u8).prop_map(|number| format!("p{number}"));
    prop_oneof![
        (0..1_500_u64).prop_map(Step::Wait),
        prop::collection::vec(host(), 0..4)
            .prop_map(|hosts| Step::Event(SheetEvent::PeersListed { hosts })),
        (host(), any_bundle())
            .prop_map(|(host, bundle)| Step::Event(peer_sheet_seen(&host, &bundle))),
        host().prop_map(|host| Step::Event(SheetEvent::PeerFailed { host })),
        any_bundle().prop_map(|bundle| Step::Event(index_read(&bundle))),
        Just(Step::Event(SheetEvent::ServiceFailed)),
        (1..6_u64).prop_map(|version| Step::Event(SheetEvent::SeenVersion { version })),
        (any_source(), any_bundle(), any_bundle(), any::<bool>()).prop_map(
            |(source, mut bundle, other, matches_index)| {
                if !matches_index {
                    bundle.parts = other.parts;
                }
                Step::Event(fetched(source, &bundle))
            }
        ),
    ]
}

/// Checks the invariants of an updater after one event.
fn check_step(
    version_before: u64,
    latest_version: u64,
    actions: &[SheetAction],
    updater: &SheetUpdater,
    refused: &BTreeSet<(u64, String)>,
) {
    for action in actions {
        match action {
            SheetAction::PutInForce { sheet } => {
                assert!(sheet.version() > version_before);
                assert!(version_before > 0 || sheet.version() >= latest_version);
                let valid_indexes =
                    [0, 1].map(|variant| bundle_of(sheet.version(), variant, true).index);
                assert!(valid_indexes.contains(&sheet.index));
            }
            SheetAction::FetchParts { index } => {
                assert!(index.version > version_before);
                assert!(!refused.contains(&(index.version, index.digest())));
            }
            SheetAction::Report {
                report: SheetReport::Refused { version, .. },
            } => assert!(*version > version_before),
            _ => {}
        }
    }
    assert!(updater.version() >= version_before);
    assert!(updater.bundle().is_none_or(|bundle| bundle.matches_index()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(256),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn version_never_goes_back_in_any_order_of_events(
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let mut now = Instant::now();
        let mut updater = SheetUpdater::new("h0", now);
        let mut refused = BTreeSet::new();
        for step in steps {
            let event = match step {
                Step::Wait(millis) => {
                    now += Duration::from_millis(millis);
                    SheetEvent::Tick
                }
                Step::Event(event) => event,
            };
            let fetched_index = match &event {
                SheetEvent::PartsFetched { bundle, .. } => Some(bundle.index.clone()),
                _ => None,
            };
            let version_before = updater.version();
            let actions = updater.handle(event, now);
            check_step(version_before, updater.latest_version(), &actions, &updater, &refused);
            let is_refusal = |report: &&&SheetReport| matches!(report, SheetReport::Refused { .. });
            if reports(&actions).iter().find(is_refusal).is_some() {
                let index = fetched_index.expect("a refusal follows a fetch");
                prop_assert!(refused.insert((index.version, index.digest())));
            }
        }
    }
}
