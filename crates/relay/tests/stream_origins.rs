//! Guards against a stream that goes on at a version that did not begin it, over random histories of
//! beginnings, messages, losses and resumptions.

use {
    board::{HostRecord, rank_holders},
    plan::TargetRow,
    proptest::prelude::*,
    route::{StreamOrigin, StreamOrigins, VersionHistory, attempt_key},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

const HOST_COUNT: usize = 8;
/// Entries that are told of a stream, and that are asked for one, as the entry does it.
const TOLD: usize = 3;
const ASKED: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    /// A stream begins at a host, at a version; the messages to these holders are lost.
    Begin {
        host: usize,
        stream: u8,
        version: u8,
        lost: [bool; TOLD],
    },
    /// A host loses what it knows.
    Restart { host: usize },
    /// A caller comes to a host, which does not know of these others.
    Resume {
        host: usize,
        stream: u8,
        unseen: BTreeSet<usize>,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let begin = (0..HOST_COUNT, 0..6_u8, 0..3_u8, any::<[bool; TOLD]>());
    let begin = begin.prop_map(|(host, stream, version, lost)| Step::Begin {
        host,
        stream,
        version,
        lost,
    });
    let restart = (0..HOST_COUNT).prop_map(|host| Step::Restart { host });
    let unseen = prop::collection::btree_set(0..HOST_COUNT, 0..3);
    let resume = (0..HOST_COUNT, 0..6_u8, unseen);
    let resume = resume.prop_map(|(host, stream, unseen)| Step::Resume {
        host,
        stream,
        unseen,
    });
    prop::collection::vec(prop_oneof![2 => begin, 1 => restart, 3 => resume], 1..60)
}

fn record(number: usize) -> HostRecord {
    HostRecord {
        host: format!("h{number}"),
        data_centre: format!("z{}", number % 3),
        incarnation: 1,
        sequence: 0,
        callers: "127.0.0.1:1".parse().unwrap(),
        peers: "127.0.0.1:2".parse().unwrap(),
        hops: "127.0.0.1:3".parse().unwrap(),
        core_share: 1_000,
        ready: true,
        reaches_targets: true,
        leaving: false,
        settled: true,
        plan_version: 1,
        loads: Vec::new(),
        pools: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Returns the numbers of the other hosts in the order in which they remember a stream.
fn holders(host: usize, attempt: u64, unseen: &BTreeSet<usize>) -> Vec<usize> {
    let records: Vec<HostRecord> = (0..HOST_COUNT).map(record).collect();
    let known = (0..HOST_COUNT).filter(|number| *number != host && !unseen.contains(number));
    let known: Vec<&HostRecord> = known.map(|number| &records[number]).collect();
    let ranked = rank_holders(&format!("stream/{attempt:016x}"), known);
    let numbers = ranked.into_iter();
    numbers
        .map(|holder| holder.host[1..].parse().unwrap())
        .collect()
}

proptest! {
    /// What is found is the version that began the stream, and it is found while an entry that was
    /// told has not been lost and is known.
    #[test]
    fn streams_are_found_at_the_version_that_began_them(steps in steps()) {
        let now = Instant::now();
        let mut memories: Vec<StreamOrigins> = Vec::new();
        memories.resize_with(HOST_COUNT, StreamOrigins::default);
        // The versions that began each stream; two if callers used an id twice.
        let mut begun: BTreeMap<u8, BTreeSet<u8>> = BTreeMap::new();
        // The hosts that have been told of the latest beginning and not lost it.
        let mut knowing: BTreeMap<u8, BTreeSet<usize>> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Begin { host, stream, version, lost } => {
                    let attempt = attempt_key("a", "/b", &stream.to_string());
                    let origin = StreamOrigin {
                        attempt,
                        service: String::from("s"),
                        version: Some(version.to_string()),
                        keep: Duration::from_secs(8),
                    };
                    let told = holders(host, attempt, &BTreeSet::new()).into_iter().take(TOLD);
                    let told = told.zip(lost).filter(|(_, is_lost)| !is_lost);
                    let mut told: BTreeSet<usize> = told.map(|(holder, _)| holder).collect();
                    told.insert(host);
                    for holder in &told {
                        memories[*holder].record(&origin, now);
                    }
                    begun.entry(stream).or_default().insert(version);
                    knowing.insert(stream, told);
                }
                Step::Restart { host } => {
                    memories[host] = StreamOrigins::default();
                    for hosts in knowing.values_mut() {
                        hosts.remove(&host);
                    }
                }
                Step::Resume { host, stream, unseen } => {
                    let attempt = attempt_key("a", "/b", &stream.to_string());
                    let mut asked = vec![host];
                    asked.extend(holders(host, attempt, &unseen).into_iter().take(ASKED));
                    let found: BTreeSet<String> = asked
                        .iter()
                        .filter_map(|asked| memories[*asked].find(attempt, now))
                        .filter_map(|origin| origin.version)
                        .collect();
                    let versions = begun.get(&stream).cloned().unwrap_or_default();
                    for version in &found {
                        prop_assert!(versions.contains(&version.parse().unwrap()));
                    }
                    let knowing = knowing.get(&stream).cloned().unwrap_or_default();
                    if versions.len() == 1 && asked.iter().any(|asked| knowing.contains(asked)) {
                        prop_assert_eq!(found.len(), 1);
                    }
                }
            }
        }
    }

    /// A service has one version for a time only if no other was listed in it.
    #[test]
    fn the_sole_version_of_a_time_is_the_only_one_listed_in_it(
        lists in prop::collection::vec(prop::collection::vec(0..3_u8, 0..4), 1..30),
        span in 0..20_u64,
    ) {
        let (start, second) = (Instant::now(), Duration::from_secs(1));
        let mut history = VersionHistory::default();
        for (at, list) in lists.iter().enumerate() {
            let now = start + second * at as u32;
            let rows: Vec<TargetRow> = list.iter().map(|version| row(*version)).collect();
            history.observe(&rows, now);
            let Some(version) = history.sole_version("s", second * span as u32, now) else {
                continue;
            };
            prop_assert!(at as u64 >= span);
            // The list before the time holds until its first second.
            for earlier in &lists[at - span as usize..=at] {
                for listed in earlier {
                    prop_assert_eq!(version, format!("v{listed}"));
                }
            }
        }
    }
}

/// Version 0 is not known.
fn row(version: u8) -> TargetRow {
    TargetRow {
        service: String::from("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: String::from("a"),
        version: (version > 0).then(|| format!("v{version}")),
        slots: 1,
        leaving: false,
        started_ms: 0,
    }
}
