use {
    base::{SheetVersion, TargetId},
    retry::CrashRecord,
};

/// What the data path tells the controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlNote {
    /// A caller or target knows of this version of the sheet.
    SheetSeen(SheetVersion),
    /// A target says that it is leaving.
    TargetLeaving(TargetId),
    /// A target died while it ran a request.
    Strike(CrashRecord),
}
