use {
    crate::PeerRumour,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// A message between daemons over TCP.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Asks for the sheet in force, if its version is at least this one.
    SheetRequest {
        /// Lowest version that is of use.
        version: SheetVersion,
    },
    /// A whole sheet as it was read from the configuration service.
    SheetReply {
        /// Text of the index.
        index_text: String,
        /// Texts of the parts in the index's order.
        parts: Vec<String>,
        /// Words on leaving targets, so that whoever starts knows them with its first sheet.
        marks: Vec<PeerRumour>,
    },
    /// No sheet of that version is in force here.
    SheetAbsent {
        /// Version in force, 0 if none.
        version: SheetVersion,
    },
    /// Asks which sheet is in force.
    SheetStatusRequest,
    /// Says which sheet is in force.
    SheetStatusReply {
        /// Version in force, 0 if none.
        version: SheetVersion,
        /// Digest of that sheet, hexadecimal; empty if none.
        digest: String,
        /// True if a daemon that starts may rely on it.
        vouched: bool,
        /// Words on leaving targets.
        marks: Vec<PeerRumour>,
    },
}
