use {
    crate::{CentreId, HostId, TargetId},
    serde::{Deserialize, Serialize},
};

/// State of a host or target in the platform's host list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It may receive new work.
    #[default]
    Live,
    /// It is shutting down and must receive no new work.
    Leaving,
}

/// One entry host in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: CentreId,
    /// Address that callers connect to, `ip:port`.
    pub callers: String,
    /// Address for other entries, `ip:port`; the port is the same for UDP and TCP.
    pub peers: String,
    /// Capacity relative to the other hosts.
    pub size: u32,
    /// Whether it is live or leaving.
    #[serde(default)]
    pub state: HostState,
}

/// State of one target in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name of the target.
    pub target: TargetId,
    /// Whether it is live or leaving.
    pub state: HostState,
}

/// Hosts and targets as the platform lists them. The list may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Entry hosts.
    #[serde(default)]
    pub hosts: Vec<HostRow>,
    /// Targets whose state the platform reports; other targets are not listed.
    #[serde(default)]
    pub targets: Vec<ListedTarget>,
}
