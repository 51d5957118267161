//! Gossip among the hosts of a fleet: each entry sends its own state to some peers in each round
//! and passes on what it knows of the others.
//!
//! Nothing is stored on disk. A process that starts knows only the seeds, some of which may be down
//! or removed, and learns of the other hosts within a few rounds.

mod address_sample;
mod evidence_refresher;
mod feed_sources;
mod gossip_round;
mod gossip_settings;
mod holder_choice;
mod hop_choice;
mod host_mark;
mod host_record;
mod host_row;
mod host_table;
mod owner_choice;
mod round_seal;

pub use {
    address_sample::address_sample,
    evidence_refresher::{
        EvidenceAnswer, EvidenceRefresher, EvidenceRequest, RefreshDecision, store_checkers,
    },
    feed_sources::feed_sources,
    gossip_round::GossipRound,
    gossip_settings::GossipSettings,
    holder_choice::rank_holders,
    hop_choice::pick_hop,
    host_mark::HostMark,
    host_record::{
        AgedHostRecord, CrashReport, GossipDatagram, GossipMessage, HostHeartbeat, HostRecord,
        PoolLoad, TargetLoad,
    },
    host_table::HostTable,
    owner_choice::{pick_owner, rank_hosts},
    round_seal::seal_shortened,
};
