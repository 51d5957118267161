use {
    crate::{EvidenceAnswer, EvidenceRequest, HostMark},
    base::StableHash,
    limit::LimitNotice,
    retry::{PartNews, PartProof},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Work that one entry has running at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Hash of the target's id.
    pub target: u64,
    /// Number of requests that run at the target.
    pub running: u32,
    /// Number of prompt tokens of these requests that the target has not prefilled yet.
    pub unread_tokens: u32,
}

/// Queue waits of new work for one shard of a pool, at the entry that owns the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Hash of the shard's name.
    pub pool: u64,
    /// Wait of new work that can still meet its latency goal and is queued before late work, in
    /// milliseconds.
    pub wait_ms: u32,
    /// Wait of new work that is queued last, in milliseconds.
    pub last_wait_ms: u32,
}

/// A crash of a target while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Hash of the id of the target that crashed.
    pub target: u64,
}

/// State of one host, as its entry reports it to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Start time of the process in Unix microseconds.
    pub incarnation: u64,
    /// Number of this version of the record, counted up by the process in each round.
    pub sequence: u64,
    /// Address at which the entry serves callers.
    pub callers: SocketAddr,
    /// Address at which the entry receives datagrams of peers.
    pub peers: SocketAddr,
    /// Address at which the entry takes requests over from entries without links to targets.
    pub hops: SocketAddr,
    /// Share of a CPU core that the entry may use, in thousandths.
    pub core_share: u32,
    /// True while the entry accepts requests.
    pub ready: bool,
    /// True unless the entry has lost its links to all targets.
    pub reaches_targets: bool,
    /// True once the entry is shutting down.
    pub leaving: bool,
    /// True once the entry has run enough gossip rounds to have learnt of the other hosts.
    pub settled: bool,
    /// Version of the configuration that the entry has in force, 0 if none.
    pub plan_version: u64,
    /// Work that the entry has running at targets.
    pub loads: Vec<TargetLoad>,
    /// Waits at the shards that the entry owns, and its [`HostMark`].
    pub pools: Vec<PoolLoad>,
    /// Recent crashes of targets that the entry observed.
    pub crashes: Vec<CrashReport>,
}

impl HostRecord {
    /// Returns a hash of the host name and incarnation, which stands for the process in messages.
    pub fn process_hash(&self) -> u32 {
        let hash = StableHash::new().with_text(&self.host);
        hash.with_number(self.incarnation).finish() as u32
    }

    /// Returns what the entry tells of itself besides the fields of the record.
    pub fn mark(&self) -> HostMark {
        HostMark::find(&self.pools)
    }

    /// True if this record is later than the other one of the same host.
    pub fn is_later(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// Short form of a host's record: shows that the process is alive and updates its state. A receiver
/// that does not know the process asks it for its record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Hash of the process, see [`HostRecord::process_hash`].
    pub process: u32,
    /// Address at which the process receives datagrams of peers.
    pub peers: SocketAddr,
    /// Sequence number of the latest version of the process's record that the sender knows.
    pub sequence: u64,
    /// Time since that version was written, in milliseconds.
    pub age_ms: u16,
    /// [`HostRecord::ready`] of that version.
    pub ready: bool,
    /// [`HostRecord::reaches_targets`] of that version.
    pub reaches_targets: bool,
    /// [`HostRecord::leaving`] of that version.
    pub leaving: bool,
    /// [`HostRecord::settled`] of that version.
    pub settled: bool,
    /// [`HostRecord::plan_version`] of that version.
    pub plan_version: u64,
    /// [`HostRecord::pools`] of that version.
    pub pools: Vec<PoolLoad>,
}

/// A record with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedHostRecord {
    /// The record.
    pub record: HostRecord,
    /// Time from when its host wrote it to when the sender sent it; time in transit is left out.
    pub age: Duration,
}

/// Content of a datagram between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipDatagram {
    /// The message of a gossip round.
    Round(GossipMessage),
    /// A question how old the peer's latest confirmation is that it knows the store's latest
    /// revision.
    EvidenceRequest(EvidenceRequest),
    /// The answer to an evidence request.
    EvidenceAnswer(EvidenceAnswer),
    /// What the sender knows of parts of prompts that crash targets.
    PartNews(PartNews),
    /// The sender's proofs that parts which the recipient blamed for a crash are sound; the
    /// recipient passes them on.
    PartProofs(Vec<PartProof>),
    /// Asks for the recipient's news of parts, unless they have this digest.
    PartRequest(u64),
    /// What targets told the sender of their limits a moment ago.
    LimitNews(Vec<LimitNotice>),
}

/// Message that a host sends in a gossip round.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own record, followed by records of other hosts.
    pub records: Vec<AgedHostRecord>,
    /// Heartbeats of further hosts.
    pub heartbeats: Vec<HostHeartbeat>,
    /// Hashes of processes whose records the sender lacks; each of them answers with its record.
    pub asked: Vec<u32>,
}
