use {
    base::{CentreId, HostId, Incarnation},
    serde::{Deserialize, Serialize},
};

/// Addresses and state of an entry that callers or peers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Host that runs the entry.
    pub host: HostId,
    /// Incarnation of its process, 0 if only the host list has named the host.
    pub incarnation: Incarnation,
    /// Data centre of the host.
    pub data_centre: CentreId,
    /// Address that serves callers, `ip:port`.
    pub callers: String,
    /// Address that serves peers, `ip:port`.
    pub peers: String,
    /// Capacity relative to the other hosts.
    pub size: u32,
    /// False if the entry is a suspect that is included only because more than half of the members
    /// are suspects. Address answers list such entries last.
    pub confirmed: bool,
}
