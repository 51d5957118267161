use {
    crate::{CentreId, HostId, TargetId},
    serde::{Deserialize, Serialize},
};

/// State of a host or target as the platform sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It may be used.
    #[default]
    Live,
    /// It is to receive no new work.
    Leaving,
}

/// An entry host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it stands in.
    pub data_centre: CentreId,
    /// Address for callers, `ip:port`.
    pub callers: String,
    /// Address for peers, `ip:port`, the same number over UDP and TCP.
    pub peers: String,
    /// Size relative to the other hosts.
    pub size: u32,
    /// Whether it is live or leaving.
    #[serde(default)]
    pub state: HostState,
}

/// A target that the platform has a word on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetMark {
    /// Name of the target.
    pub target: TargetId,
    /// Whether it is live or leaving.
    pub state: HostState,
}

/// The platform's host list; it lags behind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Entry hosts.
    #[serde(default)]
    pub hosts: Vec<HostRow>,
    /// Targets that the platform has a word on.
    #[serde(default)]
    pub targets: Vec<TargetMark>,
}
