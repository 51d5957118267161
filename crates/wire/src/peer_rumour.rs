use {
    crate::{PeerIdentity, PeerInfo, seal_hash::encode},
    base::{StageIndex, TargetId},
    serde::{Deserialize, Serialize},
    stamp::HybridTime,
};

/// Who said that a target is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkSource {
    /// The platform's host list.
    HostList,
    /// The sheet in force.
    Sheet,
    /// An operator.
    Operator,
    /// The target itself, in an answer.
    Target,
}

/// A target that died under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StrikeVictim {
    /// Short hash of the target's name.
    pub target: u64,
    /// Stage that it ran.
    pub stage: StageIndex,
}

/// News that heartbeats pass on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRumour {
    /// A member as it last described itself.
    Member(PeerInfo),
    /// A process is leaving, for good.
    HostLeaving(PeerIdentity),
    /// A process answers neither direct nor indirect probes of the sender.
    HostSuspect(PeerIdentity),
    /// A process that the sender took for dead answers again.
    HostRevived(PeerIdentity),
    /// A target is leaving, or no longer so.
    TargetLeaving {
        /// The target.
        target: TargetId,
        /// Who said so.
        source: MarkSource,
        /// When it was said; a later word replaces an earlier one.
        since: HybridTime,
        /// True if the mark is taken back.
        clear: bool,
    },
    /// Requests with this fingerprint were running at a target that died.
    Strike {
        /// Fingerprint of customer, pipeline and body.
        fingerprint: [u8; 16],
        /// Which of them died, at which stage; strikes of several victims add up.
        victim: StrikeVictim,
        /// Times that it died so.
        strikes: u8,
        /// When the latest of them was.
        at: HybridTime,
        /// Milliseconds until the record expires.
        remaining_ms: u32,
    },
    /// A request with this fingerprint ended well; strikes up to then are void.
    StrikesCleared {
        /// Fingerprint of customer, pipeline and body.
        fingerprint: [u8; 16],
        /// When it ended.
        at: HybridTime,
        /// Milliseconds until the record expires.
        remaining_ms: u32,
    },
}

impl PeerRumour {
    /// Bytes that the rumour takes in a datagram.
    ///
    /// ```
    /// use wire::{PeerIdentity, PeerRumour};
    ///
    /// let key = PeerIdentity { host: String::from("h1"), incarnation: 5 };
    /// assert_eq!(PeerRumour::HostLeaving(key).encoded_bytes(), 5);
    /// ```
    pub fn encoded_bytes(&self) -> usize {
        encode(self).map_or(0, |content| content.len())
    }
}
