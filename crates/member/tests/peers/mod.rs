//! One table and what its peers send it.

use {
    base::{HostRow, HostState},
    member::{MemberSettings, MemberTable},
    stamp::HybridTime,
    std::time::Instant,
    wire::{PeerInfo, PeerMessage, PeerRumour},
};

/// Number of hosts, the one of the table included.
pub const HOSTS: usize = 5;

pub fn about(host: usize, incarnation: u64, leaving: bool) -> PeerInfo {
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

pub fn table(now: Instant) -> MemberTable {
    MemberTable::new(MemberSettings::default(), about(0, 10, false), 5, now)
}

pub fn row(host: usize, state: HostState) -> HostRow {
    let about = about(host, 0, false);
    HostRow {
        host: about.host,
        data_centre: about.data_centre,
        callers: about.callers,
        peers: about.peers,
        size: about.size,
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

pub fn state(leaving: bool) -> HostState {
    match leaving {
        true => HostState::Leaving,
        false => HostState::Live,
    }
}
