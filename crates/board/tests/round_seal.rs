//! Guards against rounds of gossip that are too long to be sent: after a loss of all hosts, with all
//! pools short of room, no round was sent at all, and several hosts took themselves for the owner
//! of each shard for as long as the load lasted.

use {
    board::{
        AgedHostRecord, GossipDatagram, GossipMessage, HostHeartbeat, HostRecord, PoolLoad,
        seal_shortened,
    },
    proptest::prelude::*,
    std::time::Duration,
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES},
};

/// Loads of pools below this number are minor.
const MINOR_POOLS: u64 = 1 << 28;

fn loads(count: usize) -> Vec<PoolLoad> {
    let pools = (0..count as u64).map(|number| match number % 4 {
        0 => u64::MAX - number,
        _ => MINOR_POOLS - 1 - number,
    });
    pools
        .map(|pool| PoolLoad {
            pool,
            wait_ms: 3_000,
            last_wait_ms: 30_000,
        })
        .collect()
}

fn record(number: usize, load_count: usize) -> AgedHostRecord {
    let address = ([10, 0, 0, 1], 1_000 + number as u16).into();
    let record = HostRecord {
        host: format!("edge-centre-a-{number}"),
        data_centre: String::from("centre-a"),
        incarnation: 1_700_000_000_000_000,
        sequence: 400,
        callers: address,
        peers: address,
        hops: address,
        core_share: 250,
        ready: true,
        reaches_targets: true,
        leaving: false,
        settled: true,
        plan_version: 40,
        loads: Vec::new(),
        pools: loads(load_count),
        crashes: Vec::new(),
    };
    AgedHostRecord {
        record,
        age: Duration::from_millis(300),
    }
}

fn heartbeat(number: usize, load_count: usize) -> HostHeartbeat {
    HostHeartbeat {
        process: u32::MAX - number as u32,
        peers: ([10, 0, 0, 1], 1_000 + number as u16).into(),
        sequence: 400,
        age_ms: 300,
        ready: true,
        reaches_targets: true,
        leaving: false,
        settled: true,
        plan_version: 40,
        pools: loads(load_count),
    }
}

proptest! {
    /// Whatever the owners have to tell, the round is sent with the host's own record.
    #[test]
    fn a_round_is_sent_whatever_the_owners_have_to_tell(
        owner_count in 0_usize..17,
        load_count in 0_usize..13,
        own_load_count in 0_usize..13,
        other_count in 0_usize..60,
    ) {
        let records = (0..5).map(|number| record(number, own_load_count));
        let owners = (0..owner_count).map(|number| heartbeat(number, load_count));
        let others = (0..other_count).map(|number| heartbeat(100 + number, 0));
        let message = GossipMessage {
            records: records.collect(),
            heartbeats: owners.chain(others).collect(),
            asked: vec![1, 2, 3],
        };
        let seal = DatagramSeal::new([7; 32]);
        let own = message.records[0].clone();
        let sealed = seal_shortened(&seal, message, |load| load.pool < MINOR_POOLS);
        let sealed = sealed.expect("the round is sent");
        prop_assert!(sealed.len() <= MAX_DATAGRAM_BYTES);
        let Ok(GossipDatagram::Round(read)) = seal.open::<GossipDatagram>(&sealed) else {
            panic!("the round cannot be read");
        };
        prop_assert_eq!(&read.records[0], &own);
    }
}

/// Minor loads go before the heartbeats of the hosts that can own shards.
#[test]
fn owners_stay_in_view_of_all_in_a_large_fleet() {
    let owners = (0..16).map(|number| heartbeat(number, 8));
    let others = (0..44).map(|number| heartbeat(100 + number, 0));
    let message = GossipMessage {
        records: vec![record(0, 8), record(1, 8)],
        heartbeats: owners.chain(others).collect(),
        asked: Vec::new(),
    };
    let seal = DatagramSeal::new([7; 32]);
    let sealed = seal_shortened(&seal, message, |load| load.pool < MINOR_POOLS).unwrap();
    let Ok(GossipDatagram::Round(read)) = seal.open::<GossipDatagram>(&sealed) else {
        panic!("the round cannot be read");
    };
    assert!(read.heartbeats.len() >= 16, "{}", read.heartbeats.len());
}
