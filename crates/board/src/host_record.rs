use {
    crate::{EvidenceAnswer, EvidenceRequest},
    serde::{Deserialize, Serialize},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        time::Duration,
    },
};

/// Work that one entry has at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Hash of the target's id.
    pub target: u64,
    /// Requests that run there.
    pub running: u32,
    /// Prompt tokens that are still to be read there.
    pub unread_tokens: u32,
}

/// How long new work for a pool of stage targets would wait at the entry that gathers for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Hash of the pool's name.
    pub pool: u64,
    /// Wait of new work whose aim can be met, in milliseconds.
    pub wait_ms: u32,
    /// Wait of work that lets all other go first, in milliseconds.
    pub last_wait_ms: u32,
}

/// Targets that one request is known to have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub request: [u8; 16],
    /// Hash of the id of a target that died of it.
    pub target: u64,
}

/// What one entry says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: String,
    /// Start of the process, in Unix microseconds.
    pub incarnation: u64,
    /// Count of the process's notes.
    pub sequence: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Share of a core that it has, in thousandths.
    pub core_share: u32,
    /// True while it takes requests.
    pub ready: bool,
    /// True once it is ending.
    pub leaving: bool,
    /// True once it has had time to hear of the other entries.
    pub settled: bool,
    /// Version of the configuration in force there, 0 if none.
    pub plan_version: u64,
    /// Its work at targets.
    pub loads: Vec<TargetLoad>,
    /// Waits at the pools that it gathers for.
    pub pools: Vec<PoolLoad>,
    /// Recent crashes that it saw.
    pub crashes: Vec<CrashReport>,
}

impl HostRecord {
    /// Short name of the process.
    pub fn process_hash(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        (&self.host, self.incarnation).hash(&mut hasher);
        hasher.finish() as u32
    }

    /// True if this note is later than the other of the same host.
    pub fn is_later(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// Sign of life of a host; a receiver that does not know it asks it for its note.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Hash of the host's name and incarnation.
    pub process: u32,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Count of the process's latest note that is known.
    pub sequence: u64,
    /// Time since that note was written, in milliseconds.
    pub age_ms: u16,
    /// True while the host takes requests.
    pub ready: bool,
    /// True once it is ending.
    pub leaving: bool,
    /// True once it has had time to hear of the other entries.
    pub settled: bool,
}

/// A note with the time since its host wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedHostRecord {
    /// The note.
    pub record: HostRecord,
    /// Time since it was written, as far as its way here is known.
    pub age: Duration,
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipDatagram {
    /// What a host tells in a round.
    Round(GossipMessage),
    /// A question on evidence of the store.
    EvidenceRequest(EvidenceRequest),
    /// The answer to it.
    EvidenceAnswer(EvidenceAnswer),
}

/// What a host tells in a round.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own note, then notes that it passes on.
    pub records: Vec<AgedHostRecord>,
    /// Signs of life of further hosts.
    pub heartbeats: Vec<HostHeartbeat>,
    /// Processes whose notes the sender lacks; each answers with its own.
    pub asked: Vec<u32>,
}
