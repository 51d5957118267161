use {
    stamp::HybridTime,
    std::time::Instant,
    wire::{MarkSource, PeerRumour},
};

/// Latest statement of one source about whether one target is leaving.
#[derive(Debug, Clone)]
pub(crate) struct SourceMark {
    /// Time of the statement; a later statement replaces an earlier one.
    pub(crate) since: HybridTime,
    /// True if the statement clears the leaving mark.
    pub(crate) is_cleared: bool,
    /// When this daemon learned of it.
    pub(crate) seen_at: Instant,
}

impl SourceMark {
    /// Returns the statement as a rumour.
    pub(crate) fn rumour(&self, target: &str, source: MarkSource) -> PeerRumour {
        PeerRumour::TargetLeaving {
            target: target.to_string(),
            source,
            since: self.since,
            clear: self.is_cleared,
        }
    }
}
