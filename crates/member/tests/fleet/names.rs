//! Names and addresses of the members.

use {
    base::{HostRow, HostState},
    wire::PeerInfo,
};

pub fn host(index: usize) -> String {
    format!("entry-{index:03}")
}

pub fn address(index: usize) -> String {
    format!("10.0.{}.{}:7000", index / 250, index % 250 + 1)
}

pub fn index_of(address: &str) -> usize {
    let octets: Vec<usize> = address
        .split([':', '.'])
        .map(|part| part.parse().unwrap())
        .collect();
    octets[2] * 250 + octets[3] - 1
}

pub fn about(index: usize, incarnation: u64) -> PeerInfo {
    PeerInfo {
        host: host(index),
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

pub fn row_of(about: &PeerInfo, state: HostState) -> HostRow {
    HostRow {
        host: about.host.clone(),
        data_centre: about.data_centre.clone(),
        callers: about.callers.clone(),
        peers: about.peers.clone(),
        size: about.size,
        state,
    }
}
