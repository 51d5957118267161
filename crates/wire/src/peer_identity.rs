use {
    base::{HostId, Incarnation},
    serde::{Deserialize, Serialize},
};

/// One process on one host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Host that it runs on.
    pub host: HostId,
    /// Start of the process.
    pub incarnation: Incarnation,
}
