use {
    crate::{FleetSheet, SheetError, SheetIndex, SheetSource},
    base::{HostId, SheetVersion},
    std::{fmt, sync::Arc},
};

/// Output of [`crate::SheetUpdater::handle`]; the caller performs it.
#[derive(Debug, Clone, PartialEq)]
pub enum SheetAction {
    /// Ask peers which sheet they have in force.
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
    /// Report something to the operators.
    Report {
        /// The report.
        report: SheetReport,
    },
}

/// A condition that operators should know of; each one is reported once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SheetReport {
    /// A sheet failed its checks and was refused as a whole; the one in force stays.
    Refused {
        /// Version of the refused sheet.
        version: SheetVersion,
        /// Where the sheet was fetched from.
        source: SheetSource,
        /// All errors that were found.
        errors: Vec<SheetError>,
    },
    /// The fetched texts do not match the digests of the index; they are fetched again.
    PartsMismatch {
        /// Version that the index names.
        version: SheetVersion,
        /// Where the texts were fetched from.
        source: SheetSource,
    },
    /// Two sheets have the same version; the one in force stays until a later version is published.
    Conflict {
        /// Version of both sheets.
        version: SheetVersion,
        /// Digest of the sheet in force.
        in_force: String,
        /// Digest of the other sheet, or a prefix of it.
        other: String,
        /// Source that has the other sheet.
        source: SheetSource,
    },
    /// The configuration service serves an older version than the one in force.
    StaleService {
        /// Version that the service serves.
        served: SheetVersion,
        /// Version in force.
        in_force: SheetVersion,
    },
    /// No sheet can be put in force yet: a version later than that of every source was in force
    /// somewhere.
    LatestUnavailable {
        /// Latest version known to have been in force.
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
                "sheet {version} from {source} refused with {} errors",
                errors.len()
            ),
            Self::PartsMismatch { version, source } => {
                write!(
                    formatter,
                    "parts of sheet {version} from {source} do not match its index; \
                     reading them again"
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
                "sheet {latest_version} was in force elsewhere and cannot be had; \
                 requests are refused"
            ),
        }
    }
}
