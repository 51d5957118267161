use {
    crate::{PeerIdentity, PeerInfo, message_authenticator::encode},
    base::{StageIndex, TargetId},
    serde::{Deserialize, Serialize},
    stamp::HybridTime,
};

/// Source of the information that a target is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkSource {
    /// The platform's host list.
    HostList,
    /// The sheet in force.
    Sheet,
    /// An operator.
    Operator,
    /// The target itself, in an answer to a call.
    Target,
}

/// Target that died while it ran a request, and the stage that it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StrikeVictim {
    /// Short hash of the target's name.
    pub target: u64,
    /// Position of the stage that it ran.
    pub stage: StageIndex,
}

/// State change that heartbeats spread through the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRumour {
    /// Latest description that a member published of itself.
    Member(PeerInfo),
    /// The process is shutting down; this is never revoked.
    HostLeaving(PeerIdentity),
    /// The process answers neither direct nor indirect probes of the sender.
    HostSuspect(PeerIdentity),
    /// The process answers again after the sender considered it dead.
    HostRevived(PeerIdentity),
    /// A source marks a target as leaving, or clears that mark.
    TargetLeaving {
        /// The target.
        target: TargetId,
        /// Source of the mark.
        source: MarkSource,
        /// Time of the change; a later one replaces an earlier one.
        since: HybridTime,
        /// True if the mark is cleared.
        clear: bool,
    },
    /// A target died while it ran requests with this fingerprint.
    Strike {
        /// Fingerprint of customer, pipeline and body.
        fingerprint: [u8; 16],
        /// Target that died and its stage; strikes of several victims add up.
        victim: StrikeVictim,
        /// Number of times that the victim died while it ran such requests.
        strikes: u8,
        /// Time of the latest strike.
        at: HybridTime,
        /// Milliseconds until the record expires.
        remaining_ms: u32,
    },
    /// A request with this fingerprint succeeded; strikes up to that time are void.
    StrikesCleared {
        /// Fingerprint of customer, pipeline and body.
        fingerprint: [u8; 16],
        /// Time at which it succeeded.
        at: HybridTime,
        /// Milliseconds until the record expires.
        remaining_ms: u32,
    },
}

impl PeerRumour {
    /// Returns the size of the rumour in a datagram, in bytes.
    ///
    /// ```
    /// use wire::{PeerIdentity, PeerRumour};
    ///
    /// let identity = PeerIdentity { host: String::from("h1"), incarnation: 5 };
    /// assert_eq!(PeerRumour::HostLeaving(identity).encoded_bytes(), 5);
    /// ```
    pub fn encoded_bytes(&self) -> usize {
        encode(self).map_or(0, |content| content.len())
    }
}
