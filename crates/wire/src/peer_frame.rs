use {
    crate::PeerRumour,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// Message between entry daemons over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Asks for the sheet in force if its version is at least this one.
    SheetRequest {
        /// Lowest version that the sender accepts.
        version: SheetVersion,
    },
    /// Returns the sheet in force as it was read from the configuration service.
    SheetReply {
        /// Text of the index.
        index_text: String,
        /// Texts of the parts in the order of the index.
        parts: Vec<String>,
        /// Leaving marks of targets, so that a starting daemon has them with its first sheet.
        marks: Vec<PeerRumour>,
    },
    /// No sheet of the requested version is in force at the sender.
    SheetAbsent {
        /// Version in force at the sender, 0 if none.
        version: SheetVersion,
    },
    /// Asks for the version and digest of the sheet in force.
    SheetStatusRequest,
    /// Returns the version and digest of the sheet in force.
    SheetStatusReply {
        /// Version in force at the sender, 0 if none.
        version: SheetVersion,
        /// Digest of that sheet, hexadecimal; empty if none.
        digest: String,
        /// True if a starting daemon may rely on that sheet.
        vouched: bool,
        /// Leaving marks of targets.
        marks: Vec<PeerRumour>,
    },
}
