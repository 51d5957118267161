use {
    base::{SheetVersion, TargetId},
    retry::CrashFingerprint,
    wire::StrikeVictim,
};

/// What the data path tells the controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlMessage {
    /// A caller proved that this version of the sheet was in force.
    SeenVersion(SheetVersion),
    /// A target says that it is leaving.
    TargetLeaving(TargetId),
    /// A target died while it ran a request.
    Strike {
        /// The request.
        fingerprint: CrashFingerprint,
        /// The target and the stage.
        victim: StrikeVictim,
        /// Times that it died so, as far as this entry knows.
        strikes: u8,
    },
    /// The process was told to end.
    Terminate,
}
