//! What the entries of a fleet say of themselves, spread by datagrams from a few seeds.
//!
//! Nothing here lasts: a process that starts knows only seeds, which may be down or gone, and
//! hears of the others within a few rounds.

mod evidence_refresher;
mod gossip_settings;
mod host_record;
mod host_table;
mod owner_choice;

pub use {
    evidence_refresher::{EvidenceAnswer, EvidenceRefresher, EvidenceRequest, RefreshDecision},
    gossip_settings::GossipSettings,
    host_record::{
        AgedHostRecord, CrashReport, GossipDatagram, GossipMessage, HostHeartbeat, HostRecord,
        PoolLoad, TargetLoad,
    },
    host_table::{GossipRound, HostTable},
    owner_choice::{pick_owner, rank_hosts},
};
