//! A member table of host `h0`, and the messages and list rows of its peers.

use {
    base::{HostRow, HostState},
    member::{MemberSettings, MemberTable},
    stamp::HybridTime,
    std::time::Instant,
    wire::{PeerInfo, PeerMessage, PeerRumour},
};

/// Number of hosts, including the table's own.
pub const HOSTS: usize = 5;

pub fn describe_member(host: usize, incarnation: u64, leaving: bool) -> PeerInfo {
    PeerInfo {
        host: format!("h{host}"),
        incarnation,
        data_centre: String::from("dc1"),
        callers: format!("10.0.0.{host}:80"),
        peers: format!("10.0.0.{host}:81"),
        size: 1,
        leaving,
        sheet_version: incarnation,
        sheet_digest: [0; 8],
    }
}

pub fn new_table(now: Instant) -> MemberTable {
    MemberTable::new(
        MemberSettings::default(),
        describe_member(0, 10, false),
        5,
        now,
    )
}

pub fn list_row(host: usize, state: HostState) -> HostRow {
    let description = describe_member(host, 0, false);
    HostRow {
        host: description.host,
        data_centre: description.data_centre,
        callers: description.callers,
        peers: description.peers,
        size: description.size,
        state,
    }
}

pub fn heartbeat(sender: PeerInfo, rumours: Vec<PeerRumour>) -> PeerMessage {
    PeerMessage::Heartbeat {
        sender,
        stamp: HybridTime::default(),
        rumours,
    }
}

pub fn host_state(leaving: bool) -> HostState {
    match leaving {
        true => HostState::Leaving,
        false => HostState::Live,
    }
}
