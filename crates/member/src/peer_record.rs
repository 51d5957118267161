use {
    base::{HostRow, HostState, Incarnation},
    std::time::Instant,
    wire::PeerInfo,
};

/// What is believed of one other host.
#[derive(Debug, Clone)]
pub(crate) struct PeerRecord {
    /// Its latest description; the incarnation is 0 while only the host list named it.
    pub(crate) about: PeerInfo,
    /// When this incarnation became known here.
    pub(crate) known_since: Instant,
    /// When this incarnation was last heard of directly.
    pub(crate) heard: Option<Instant>,
    /// When it became a suspect.
    pub(crate) suspect_since: Option<Instant>,
    /// Incarnations up to this one are leaving.
    pub(crate) leaving_up_to: Incarnation,
    /// The list shows the host as leaving without saying which incarnation.
    pub(crate) list_mark: bool,
    /// Since when the list has shown the host live without a break.
    pub(crate) list_live_since: Option<Instant>,
    /// What the latest list says, if it names the host.
    pub(crate) listed: Option<HostState>,
}

impl PeerRecord {
    /// Record of a host that described itself.
    pub(crate) fn reported(about: &PeerInfo, now: Instant) -> Self {
        Self {
            about: about.clone(),
            known_since: now,
            heard: None,
            suspect_since: None,
            leaving_up_to: 0,
            list_mark: false,
            list_live_since: None,
            listed: None,
        }
    }

    /// Record of a host that only the host list names.
    pub(crate) fn listed(row: &HostRow, now: Instant) -> Self {
        let about = PeerInfo {
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
        Self::reported(&about, now)
    }

    /// True if the process is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.list_mark || self.is_bound_leaving()
    }

    /// True if a mark names this very process.
    pub(crate) fn is_bound_leaving(&self) -> bool {
        self.leaving_up_to > 0 && self.about.incarnation <= self.leaving_up_to
    }

    /// True if it answers no probes.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect_since.is_some()
    }
}
