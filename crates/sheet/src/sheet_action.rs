use {
    crate::{FleetSheet, SheetError, SheetIndex, SheetSource},
    base::{HostId, SheetVersion},
    std::{fmt, sync::Arc},
};

/// What a keeper wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum SheetAction {
    /// Ask these peers which sheet they have in force.
    AskPeers {
        /// Peers to ask.
        hosts: Vec<HostId>,
    },
    /// Read the parts of the index from the configuration service.
    FetchParts {
        /// Index that names the parts.
        index: SheetIndex,
    },
    /// Read the whole sheet from a peer.
    FetchFromPeer {
        /// The peer.
        host: HostId,
    },
    /// Use this sheet from now on.
    PutInForce {
        /// The sheet.
        sheet: Arc<FleetSheet>,
    },
    /// Tell the operators.
    Report {
        /// What to tell.
        report: SheetReport,
    },
}

/// What operators should know; each matter is reported once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SheetReport {
    /// A sheet was refused whole; the one in force stays.
    Refused {
        /// Version of the refused sheet.
        version: SheetVersion,
        /// Where it came from.
        source: SheetSource,
        /// All faults.
        errors: Vec<SheetError>,
    },
    /// Texts came that are not those of the index; they are read again.
    PartsMismatch {
        /// Version that the index names.
        version: SheetVersion,
        /// Where they came from.
        source: SheetSource,
    },
    /// Two sheets carry one version; the one in force stays until a later version comes.
    Conflict {
        /// Version that both carry.
        version: SheetVersion,
        /// Digest of the sheet in force.
        in_force: String,
        /// Digest of the other one.
        other: String,
        /// Who has the other one.
        source: SheetSource,
    },
    /// The configuration service serves an older sheet than the one in force.
    StaleService {
        /// Version that it serves.
        served: SheetVersion,
        /// Version in force.
        in_force: SheetVersion,
    },
    /// No sheet may be trusted yet: a later one than any that can be had was in force somewhere.
    LatestUnavailable {
        /// Latest version that was heard of.
        latest_version: SheetVersion,
    },
}

impl fmt::Display for SheetReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused {
                version,
                source,
                errors,
            } => write!(
                formatter,
                "sheet {version} from {source} refused, {} faults",
                errors.len()
            ),
            Self::PartsMismatch { version, source } => {
                write!(
                    formatter,
                    "parts of sheet {version} from {source} do not match its index; reading them again"
                )
            }
            Self::Conflict {
                version,
                in_force,
                other,
                source,
            } => write!(
                formatter,
                "{source} has another sheet {version}: {other}, in force is {in_force}; \
                 publish a later version"
            ),
            Self::StaleService { served, in_force } => write!(
                formatter,
                "the configuration service serves sheet {served}, in force is {in_force}"
            ),
            Self::LatestUnavailable { latest_version } => write!(
                formatter,
                "sheet {latest_version} was in force elsewhere and is not available here; requests are refused"
            ),
        }
    }
}
