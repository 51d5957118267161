use {
    crate::EntryRow,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// One member as this daemon sees it, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Host, incarnation and addresses of the member.
    pub entry: EntryRow,
    /// True if the member itself, a rumour or the host list says that it is leaving.
    pub leaving: bool,
    /// True if the member answered neither direct nor indirect probes.
    pub suspect: bool,
    /// True if the latest host list names the member.
    pub listed: bool,
    /// Version of the sheet that is in force at the member, 0 if unknown.
    pub sheet_version: SheetVersion,
    /// First bytes of the digest of that sheet.
    pub sheet_digest: [u8; 8],
    /// Milliseconds since the last message that came from the member's process itself, not through
    /// a rumour; `None` if there was none.
    pub heard_ms_ago: Option<u64>,
}
