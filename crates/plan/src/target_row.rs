use {
    crate::ServiceId,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// One target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRow {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True once it takes no new work.
    pub leaving: bool,
    /// Start of its process, in Unix milliseconds; 0 if it does not say.
    pub started_ms: u64,
}

/// Targets by their id.
pub type TargetMap = BTreeMap<String, TargetRow>;
