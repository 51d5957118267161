use {
    crate::ServiceId,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Version of a target's software, not of the weights of its model. Two are the same if their texts
/// are.
pub type SoftwareVersion = String;

/// One target in the platform's target list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: String,
    /// Version of its software; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// True once the target accepts no new work.
    pub leaving: bool,
    /// Start time of its process in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
}

/// Targets by id.
pub type TargetMap = BTreeMap<String, TargetRow>;
