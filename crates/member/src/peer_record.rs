use {
    base::{HostRow, HostState, Incarnation},
    std::time::Instant,
    wire::PeerInfo,
};

/// State of one other host in this daemon's view.
#[derive(Debug, Clone)]
pub(crate) struct PeerRecord {
    /// Latest description of the host; its incarnation is 0 if only the host list has named it.
    pub(crate) description: PeerInfo,
    /// When this daemon learned of the incarnation.
    pub(crate) known_since: Instant,
    /// When the last message came directly from this incarnation.
    pub(crate) last_contact: Option<Instant>,
    /// When this incarnation became a suspect; `None` if it is not one.
    pub(crate) suspect_since: Option<Instant>,
    /// Latest incarnation that is known to be leaving; so are all earlier ones. 0 if none is.
    pub(crate) leaving_up_to: Incarnation,
    /// True if the host list marks the host as leaving and the mark could not be bound to an
    /// incarnation.
    pub(crate) has_list_mark: bool,
    /// Time since which every host list has shown the host as live; `None` if the latest one doesn't.
    pub(crate) list_live_since: Option<Instant>,
    /// State in the latest host list, `None` if the list does not name the host.
    pub(crate) list_state: Option<HostState>,
}

impl PeerRecord {
    /// Creates the record of a host that described itself.
    pub(crate) fn from_description(description: &PeerInfo, now: Instant) -> Self {
        Self {
            description: description.clone(),
            known_since: now,
            last_contact: None,
            suspect_since: None,
            leaving_up_to: 0,
            has_list_mark: false,
            list_live_since: None,
            list_state: None,
        }
    }

    /// Creates the record of a host that only the host list names.
    pub(crate) fn from_list_row(row: &HostRow, now: Instant) -> Self {
        let description = PeerInfo {
            host: row.host.clone(),
            incarnation: 0,
            data_centre: row.data_centre.clone(),
            callers: row.callers.clone(),
            peers: row.peers.clone(),
            size: row.size,
            leaving: false,
            sheet_version: 0,
            sheet_digest: [0; 8],
        };
        Self::from_description(&description, now)
    }

    /// True if the process is leaving by any mark.
    pub(crate) fn is_leaving(&self) -> bool {
        self.has_list_mark || self.is_incarnation_leaving()
    }

    /// True if a leaving mark is bound to the present incarnation or a later one.
    pub(crate) fn is_incarnation_leaving(&self) -> bool {
        self.leaving_up_to > 0 && self.description.incarnation <= self.leaving_up_to
    }

    /// True if the process answered neither direct nor indirect probes.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect_since.is_some()
    }
}
