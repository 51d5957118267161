use {
    crate::{SheetBundle, SheetIndex},
    base::{HostId, SheetVersion},
    std::fmt,
};

/// Where a sheet was fetched from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum SheetSource {
    /// The configuration service.
    Service,
    /// The daemon on this host.
    Peer(HostId),
}

impl fmt::Display for SheetSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service => formatter.write_str("the configuration service"),
            Self::Peer(host) => write!(formatter, "peer {host}"),
        }
    }
}

/// Input of [`crate::SheetUpdater::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SheetEvent {
    /// The list of peers that may be asked for a sheet has changed.
    PeersListed {
        /// All hosts that are known to be live, except this daemon's own.
        hosts: Vec<HostId>,
    },
    /// A peer reported which sheet it has in force.
    PeerHasSheet {
        /// The peer.
        host: HostId,
        /// Version that it has in force, 0 if none.
        version: SheetVersion,
        /// Digest of that sheet or a prefix of the digest, empty if none.
        digest: String,
    },
    /// A peer reported that its sheet in force may be relied on; see
    /// [`crate::SheetUpdater::is_vouched`].
    PeerVouches {
        /// Version that it has in force.
        version: SheetVersion,
    },
    /// A peer did not answer, or its answer broke off.
    PeerFailed {
        /// The peer.
        host: HostId,
    },
    /// An index was read from the configuration service.
    IndexRead {
        /// The index.
        index: SheetIndex,
    },
    /// The configuration service did not answer, or its answer broke off.
    ServiceFailed,
    /// A caller or an engine proved that a version was in force. The updater must not be given
    /// unproved versions, since a starting daemon refuses all requests until it has a sheet at least
    /// as late.
    SeenVersion {
        /// The version.
        version: SheetVersion,
    },
    /// A fetch returned an index and the texts of its parts.
    PartsFetched {
        /// Where they were fetched from.
        source: SheetSource,
        /// Index and texts.
        bundle: SheetBundle,
    },
    /// Time has passed; timeouts and retries that are due are handled.
    Tick,
}
