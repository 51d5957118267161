//! Tests which entries a caller is sent to.

use {
    board::{HostRecord, address_sample},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeSet,
};

fn record(number: u16) -> HostRecord {
    HostRecord {
        host: format!("h{number}"),
        data_centre: format!("z{}", number % 3),
        incarnation: 1,
        sequence: 1,
        callers: ([10, 0, 0, 1], 1_000 + number).into(),
        peers: ([10, 0, 0, 1], 2_000 + number).into(),
        hops: "127.0.0.1:3".parse().unwrap(),
        core_share: 250,
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

#[test]
fn callers_of_a_small_fleet_get_all_entries() {
    let records: Vec<HostRecord> = (0..8).map(record).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let sample = address_sample(records.iter().collect(), Some("z1"), 64, &mut random);
    assert_eq!(sample.len(), 8);
}

/// Load pattern: hundreds of entries, an answer holds 64. If all answers held the same, a fifth of
/// the entries would carry all requests.
#[test]
fn callers_of_a_large_fleet_get_all_near_entries_in_turn() {
    let records: Vec<HostRecord> = (0..300).map(record).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut seen = BTreeSet::new();
    for _ in 0..20 {
        let sample = address_sample(records.iter().collect(), Some("z1"), 64, &mut random);
        assert_eq!(sample.len(), 64);
        for entry in sample {
            assert_eq!(entry.data_centre, "z1");
            seen.insert(entry.host.clone());
        }
    }
    assert_eq!(seen.len(), 100);
}

#[test]
fn callers_without_near_entries_get_those_of_all_data_centres() {
    let records: Vec<HostRecord> = (0..300).map(record).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for data_centre in [Some("elsewhere"), None] {
        let sample = address_sample(records.iter().collect(), data_centre, 64, &mut random);
        let centres: BTreeSet<&str> = sample
            .iter()
            .map(|entry| entry.data_centre.as_str())
            .collect();
        assert_eq!(centres.len(), 3);
    }
}
