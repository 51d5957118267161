//! Guards against a host that learns what the store holds from one that cannot say all of it.

use {
    board::{
        AgedHostRecord, GossipMessage, GossipSettings, HostMark, HostRecord, HostTable,
        feed_sources, store_checkers,
    },
    std::time::{Duration, Instant},
    wire::SchemaNumber,
};

fn record(number: u16, schema: SchemaNumber) -> HostRecord {
    let mark = HostMark {
        schema,
        lacks_store: false,
    };
    HostRecord {
        host: format!("h{number}"),
        data_centre: String::from("z"),
        incarnation: u64::from(number),
        sequence: 1,
        callers: ([10, 0, 0, 1], 1_000 + number).into(),
        peers: ([10, 0, 0, 1], 2_000 + number).into(),
        hops: ([10, 0, 0, 1], 3_000 + number).into(),
        core_share: 250,
        ready: true,
        reaches_targets: true,
        leaving: false,
        settled: true,
        plan_version: 3,
        loads: Vec::new(),
        pools: vec![mark.to_load()],
        crashes: Vec::new(),
    }
}

/// Returns the table of a host that has heard of thirty others, of which those with odd numbers read
/// the older schema.
fn mixed_table(now: Instant) -> HostTable {
    let mut hosts = HostTable::new(GossipSettings::default(), record(100, 3), [], 7);
    let records = (0..30).map(|number| AgedHostRecord {
        record: record(number, 3 - SchemaNumber::from(number % 2 == 1)),
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

#[test]
fn a_host_of_an_older_schema_is_no_source() {
    let now = Instant::now();
    let hosts = mixed_table(now);
    let of_any_schema = feed_sources(&hosts, 1, now);
    let checkers = store_checkers(&hosts, now);
    let is_own = |host: &&str| *host == "h100";
    assert!(
        checkers
            .iter()
            .all(|host| is_own(host) || of_any_schema.contains(host))
    );
    let sources = feed_sources(&hosts, 3, now);
    assert!(sources.len() < of_any_schema.len(), "{of_any_schema:?}");
    for host in sources {
        assert_eq!(hosts.peer_schema(host), 3, "{host}");
    }
}
