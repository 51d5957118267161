use {
    base::{HostId, Incarnation, SheetVersion, TargetId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    wire::MarkSource,
};

/// A change of what this daemon believes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberEvent {
    /// A process was heard of for the first time, or again after it had been a suspect.
    Live {
        /// Its host.
        host: HostId,
        /// Start of the process.
        incarnation: Incarnation,
    },
    /// A process answered neither direct nor indirect probes.
    Suspect {
        /// Its host.
        host: HostId,
        /// Start of the process.
        incarnation: Incarnation,
    },
    /// A suspect that the host list no longer names was forgotten.
    Gone {
        /// Its host.
        host: HostId,
    },
    /// A process is leaving.
    Leaving {
        /// Its host.
        host: HostId,
        /// Start of the process, 0 if unknown.
        incarnation: Incarnation,
    },
    /// The host list or peers say that this very process is to leave.
    SelfLeaving,
    /// A later process runs under the name of this host; this one should end.
    SelfSuperseded {
        /// Start of the later process.
        incarnation: Incarnation,
    },
    /// A target is leaving.
    TargetLeaving {
        /// The target.
        target: TargetId,
        /// Who said so first.
        source: MarkSource,
    },
    /// No source marks the target any more.
    TargetCleared {
        /// The target.
        target: TargetId,
    },
    /// A peer has a sheet of a version or content not seen before.
    SheetSeen {
        /// Host that has it.
        host: HostId,
        /// Version of the sheet.
        version: SheetVersion,
        /// First bytes of its digest.
        digest: [u8; 8],
    },
    /// Most members seem dead, so that suspicions are not acted on.
    ViewDoubted,
    /// Most members answer again.
    ViewTrusted,
    /// This process stood still; it suspects no one until it has listened again.
    Paused {
        /// How long it stood still.
        pause: Duration,
    },
}
