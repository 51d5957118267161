use {
    base::{HostId, Incarnation},
    serde::{Deserialize, Serialize},
};

/// Identity of one daemon process: its host, and its incarnation to tell restarts apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Host that it runs on.
    pub host: HostId,
    /// Start time of the process.
    pub incarnation: Incarnation,
}
