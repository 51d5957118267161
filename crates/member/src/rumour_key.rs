use {
    crate::Fingerprint,
    base::{HostId, TargetId},
    wire::{MarkSource, PeerRumour, StrikeVictim},
};

/// Subject of a rumour. A newer rumour with the same key replaces the older one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RumourKey {
    Member(HostId),
    HostLeaving(HostId),
    HostSuspect(HostId),
    HostRevived(HostId),
    Target(TargetId, MarkSource),
    Strike(Fingerprint, StrikeVictim),
    StrikesCleared(Fingerprint),
}

impl RumourKey {
    pub(crate) fn of(rumour: &PeerRumour) -> Self {
        match rumour {
            PeerRumour::Member(description) => Self::Member(description.host.clone()),
            PeerRumour::HostLeaving(key) => Self::HostLeaving(key.host.clone()),
            PeerRumour::HostSuspect(key) => Self::HostSuspect(key.host.clone()),
            PeerRumour::HostRevived(key) => Self::HostRevived(key.host.clone()),
            PeerRumour::TargetLeaving { target, source, .. } => {
                Self::Target(target.clone(), *source)
            }
            PeerRumour::Strike {
                fingerprint,
                victim,
                ..
            } => Self::Strike(*fingerprint, *victim),
            PeerRumour::StrikesCleared { fingerprint, .. } => Self::StrikesCleared(*fingerprint),
        }
    }

    /// True if requests fail or targets get unwanted work until the rumour has reached every
    /// member. Such rumours go first where a datagram lacks room.
    pub(crate) fn is_urgent(&self) -> bool {
        !matches!(
            self,
            Self::Member(_) | Self::HostSuspect(_) | Self::HostRevived(_)
        )
    }
}
