use {
    base::{SheetVersion, TargetId},
    retry::CrashFingerprint,
    wire::StrikeVictim,
};

/// Message of the data path to the controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlMessage {
    /// A caller proved that this version of the sheet was in force.
    SeenVersion(SheetVersion),
    /// A target reported that it is leaving.
    TargetLeaving(TargetId),
    /// A target died while it ran a request.
    Strike {
        /// Fingerprint of the request.
        fingerprint: CrashFingerprint,
        /// The target that died and the stage that it ran.
        victim: StrikeVictim,
        /// Number of times that this request killed the target in this stage, as far as this entry
        /// knows.
        strikes: u8,
    },
    /// The process received a termination signal.
    Terminate,
}
