use {
    crate::EntryRow,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// One member as this daemon sees it, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Who it is and where.
    pub entry: EntryRow,
    /// True if it is leaving, by its own word, a rumour's or the host list's.
    pub leaving: bool,
    /// True if it answered neither direct nor indirect probes.
    pub suspect: bool,
    /// True if the host list names it.
    pub listed: bool,
    /// Version of the sheet in force there, 0 if unknown.
    pub sheet_version: SheetVersion,
    /// First bytes of the digest of that sheet.
    pub sheet_digest: [u8; 8],
    /// Milliseconds since its process was heard of directly.
    pub heard_ms_ago: Option<u64>,
}
