use {
    stamp::HybridTime,
    std::time::Instant,
    wire::{MarkSource, PeerRumour},
};

/// The latest word of one source on one target.
#[derive(Debug, Clone)]
pub(crate) struct TargetWord {
    /// When it was said; a later word replaces an earlier one.
    pub(crate) since: HybridTime,
    /// True if the mark is taken back.
    pub(crate) clear: bool,
    /// When it became known here.
    pub(crate) seen: Instant,
}

impl TargetWord {
    /// The word as it is passed on.
    pub(crate) fn rumour(&self, target: &str, source: MarkSource) -> PeerRumour {
        PeerRumour::TargetLeaving {
            target: target.to_string(),
            source,
            since: self.since,
            clear: self.clear,
        }
    }
}
