//! Names, addresses and descriptions of the members, by index.

use {
    base::{HostRow, HostState},
    wire::PeerInfo,
};

pub fn host_name(index: usize) -> String {
    format!("entry-{index:03}")
}

pub fn address(index: usize) -> String {
    format!("10.0.{}.{}:7000", index / 250, index % 250 + 1)
}

pub fn index_of_address(address: &str) -> usize {
    let octets: Vec<usize> = address
        .split([':', '.'])
        .map(|part| part.parse().unwrap())
        .collect();
    octets[2] * 250 + octets[3] - 1
}

pub fn describe_member(index: usize, incarnation: u64) -> PeerInfo {
    PeerInfo {
        host: host_name(index),
        incarnation,
        data_centre: format!("dc-{}", index % 8),
        callers: address(index),
        peers: address(index),
        size: 4,
        leaving: false,
        sheet_version: 20_250_101_001,
        sheet_digest: [7; 8],
    }
}

pub fn list_row(description: &PeerInfo, state: HostState) -> HostRow {
    HostRow {
        host: description.host.clone(),
        data_centre: description.data_centre.clone(),
        callers: description.callers.clone(),
        peers: description.peers.clone(),
        size: description.size,
        state,
    }
}
