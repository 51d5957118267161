use {
    base::{CentreId, HostId, Incarnation},
    serde::{Deserialize, Serialize},
};

/// An entry that may be used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Host of the entry.
    pub host: HostId,
    /// Start of its process, 0 while it was never heard of directly or by rumour.
    pub incarnation: Incarnation,
    /// Data centre that it stands in.
    pub data_centre: CentreId,
    /// Address for callers, `ip:port`.
    pub callers: String,
    /// Address for peers, `ip:port`.
    pub peers: String,
    /// Size relative to the other hosts.
    pub size: u32,
    /// False if it answered no probe of late and stands here only because most members seem
    /// dead; such an entry goes last in an answer.
    pub confirmed: bool,
}
