use {
    base::{HostId, Incarnation, SheetVersion, TargetId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    wire::MarkSource,
};

/// Change of this daemon's view of its peers, of targets or of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberEvent {
    /// A process became known, or a suspect answered again.
    Live {
        /// Host of the process.
        host: HostId,
        /// Incarnation of the process.
        incarnation: Incarnation,
    },
    /// A process answered neither direct nor indirect probes.
    Suspect {
        /// Host of the process.
        host: HostId,
        /// Incarnation of the process.
        incarnation: Incarnation,
    },
    /// A suspect that the host list no longer names was removed.
    Gone {
        /// Name of the removed host.
        host: HostId,
    },
    /// A process is leaving, for good.
    Leaving {
        /// Host of the process.
        host: HostId,
        /// Incarnation of the process, 0 if unknown.
        incarnation: Incarnation,
    },
    /// The host list or a peer marks this process as leaving.
    SelfLeaving,
    /// A later process runs under this host's name, so that this one has to end.
    SelfSuperseded {
        /// Incarnation of the later process.
        incarnation: Incarnation,
    },
    /// A target is leaving and gets no new work.
    TargetLeaving {
        /// Name of the target.
        target: TargetId,
        /// Source of the first mark.
        source: MarkSource,
    },
    /// No source marks the target as leaving any more.
    TargetCleared {
        /// Name of the target.
        target: TargetId,
    },
    /// A peer has a sheet with a later version than any seen here, or with the latest version and
    /// another digest.
    SheetSeen {
        /// Host that has the sheet in force.
        host: HostId,
        /// Version of the sheet.
        version: SheetVersion,
        /// First bytes of the digest of the sheet.
        digest: [u8; 8],
    },
    /// More than half of the members are suspects. While this lasts, suspects stay in address
    /// answers and peers are not told of them.
    ViewDoubted,
    /// At most half of the members are suspects again, so that suspects are left out of address
    /// answers as usual.
    ViewTrusted,
    /// This process was paused for longer than its lease. It starts no probes until it has listened
    /// for a while.
    Paused {
        /// Time between the ticks before and after the pause.
        pause: Duration,
    },
}
