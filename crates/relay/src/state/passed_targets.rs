use plan::TargetRow;

/// What was listed since the last view of the store, and may be in no view.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PassedTargets {
    /// Targets as they were before they were changed or removed.
    pub rows: Vec<TargetRow>,
    /// True if others may have been listed that this entry does not know of, since it read all items
    /// anew.
    pub has_gap: bool,
}
