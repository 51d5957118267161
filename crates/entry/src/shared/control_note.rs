use {
    base::{SheetVersion, TargetId},
    retry::CrashFingerprint,
};

/// What the data path tells the controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlNote {
    /// A caller proved that this version of the sheet was in force.
    SheetSeen(SheetVersion),
    /// A target says that it is leaving.
    TargetLeaving(TargetId),
    /// A target died while it ran a request.
    Strike(CrashFingerprint),
    /// The process was told to end.
    Terminate,
}
