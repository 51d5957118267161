use {
    crate::shared::EntryPhase,
    base::{SheetVersion, TargetId},
    member::{EntryRow, TargetStrike},
    sheet::FleetSheet,
    std::{collections::BTreeSet, sync::Arc},
};

/// Immutable snapshot of the fleet that the controllers publish to the data path.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Sheet in force; `None` if there is none or if requests may not be accepted under it.
    pub sheet: Option<Arc<FleetSheet>>,
    /// Latest version known to have been in force anywhere, 0 if none.
    pub latest_version: SheetVersion,
    /// Sum of the weights of all customers in the sheet in force.
    pub total_weight: u64,
    /// Entries that callers may be told to use; this one is among them unless it is leaving.
    pub entries: Vec<EntryRow>,
    /// Targets that are leaving and get no new work.
    pub leaving_targets: BTreeSet<TargetId>,
    /// Strikes that peers reported and that have not expired.
    pub strikes: Vec<TargetStrike>,
    /// Whether this entry serves, or how far its shutdown has come.
    pub phase: EntryPhase,
}

impl FleetView {
    /// Returns the version of the sheet in force, 0 if there is none.
    pub fn version(&self) -> SheetVersion {
        self.sheet.as_ref().map_or(0, |sheet| sheet.version())
    }
}
