use {
    crate::{SheetBundle, SheetIndex},
    base::{HostId, SheetVersion},
    std::fmt,
};

/// Where a sheet came from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum SheetSource {
    /// The configuration service.
    Service,
    /// The daemon of this host.
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

/// What a keeper is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SheetEvent {
    /// Hosts that may be asked for a sheet, without the own one; replaces the former list.
    PeersListed {
        /// Hosts that are live as far as is known.
        hosts: Vec<HostId>,
    },
    /// A peer says which sheet it has in force.
    PeerHas {
        /// The peer.
        host: HostId,
        /// Version that it has in force, 0 if none.
        version: SheetVersion,
        /// Digest of that sheet or the head of it, empty if none.
        digest: String,
    },
    /// A peer says that its sheet of this version may be relied on; see
    /// [`crate::SheetUpdater::is_vouched`].
    PeerVouches {
        /// Version that it has in force.
        version: SheetVersion,
    },
    /// A peer did not answer, or broke off.
    PeerFailed {
        /// The peer.
        host: HostId,
    },
    /// The configuration service gave an index.
    IndexRead {
        /// The index.
        index: SheetIndex,
    },
    /// The configuration service did not answer, or broke off.
    ServiceFailed,
    /// A caller or an engine has met a sheet that was in force. The version must have been
    /// proved: a starting daemon refuses all requests until it has a sheet at least as late.
    SeenVersion {
        /// The version.
        version: SheetVersion,
    },
    /// Index and parts that a fetch brought.
    PartsFetched {
        /// Where they came from.
        source: SheetSource,
        /// What came.
        bundle: SheetBundle,
    },
    /// Time has passed.
    Tick,
}
