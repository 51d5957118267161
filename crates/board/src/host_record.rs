use {
    crate::{EvidenceAnswer, EvidenceRequest},
    serde::{Deserialize, Serialize},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        time::Duration,
    },
};

/// Work that one entry has running at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Hash of the target's id.
    pub target: u64,
    /// Number of requests that run there.
    pub running: u32,
    /// Prompt tokens that the target still has to read.
    pub unread_tokens: u32,
}

/// How long new work for a shard of a pool would wait at the entry that owns the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Hash of the shard's name.
    pub pool: u64,
    /// Wait of new work that can still meet its latency goal, in milliseconds.
    pub wait_ms: u32,
    /// Wait of new work at the end of the queue, in milliseconds.
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
    /// Start time of the process in Unix microseconds.
    pub incarnation: u64,
    /// Number of this version of the record, counted up by the process in each round.
    pub sequence: u64,
    /// Address at which it serves callers.
    pub callers: SocketAddr,
    /// Address at which it receives datagrams of peers.
    pub peers: SocketAddr,
    /// Share of a CPU core that it may use, in thousandths.
    pub core_share: u32,
    /// True while it accepts requests.
    pub ready: bool,
    /// True once it is shutting down.
    pub leaving: bool,
    /// True once it has had time to learn of the other hosts.
    pub settled: bool,
    /// Version of the configuration in force there, 0 if none.
    pub plan_version: u64,
    /// Work that it has running at targets.
    pub loads: Vec<TargetLoad>,
    /// Waits at the shards that it owns.
    pub pools: Vec<PoolLoad>,
    /// Recent crashes of targets that it observed.
    pub crashes: Vec<CrashReport>,
}

impl HostRecord {
    /// Returns a hash of the host name and incarnation, which stands for the process in messages.
    pub fn process_hash(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        (&self.host, self.incarnation).hash(&mut hasher);
        hasher.finish() as u32
    }

    /// True if this record is later than the other one of the same host.
    pub fn is_later(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// Short form of a host's record: shows that the process is alive and updates its state. A receiver
/// that does not know the process asks it for its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Hash of the process, see [`HostRecord::process_hash`].
    pub process: u32,
    /// Address at which it receives datagrams of peers.
    pub peers: SocketAddr,
    /// Sequence number of the latest version of its record that is known.
    pub sequence: u64,
    /// Time since that version was written, in milliseconds.
    pub age_ms: u16,
    /// True while the host accepts requests.
    pub ready: bool,
    /// True once it is shutting down.
    pub leaving: bool,
    /// True once it has had time to learn of the other hosts.
    pub settled: bool,
}

/// A record with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedHostRecord {
    /// The record.
    pub record: HostRecord,
    /// Time since its host wrote it, without the time in transit to this host.
    pub age: Duration,
}

/// Content of a datagram between peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipDatagram {
    /// The message of a gossip round.
    Round(GossipMessage),
    /// A question about the age of the peer's evidence.
    EvidenceRequest(EvidenceRequest),
    /// The answer to an evidence request.
    EvidenceAnswer(EvidenceAnswer),
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
