use {
    crate::shared::EntryPhase,
    base::{SheetVersion, TargetId},
    member::{EntryRow, TargetStrike},
    sheet::FleetSheet,
    std::{collections::BTreeSet, sync::Arc},
};

/// What the controllers know, as the data path sees it. Each snapshot is immutable.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Sheet in force; absent while none may be trusted.
    pub sheet: Option<Arc<FleetSheet>>,
    /// Latest version that is known to have been in force anywhere.
    pub latest_version: SheetVersion,
    /// Weight of all customers together.
    pub total_weight: u64,
    /// Entries that callers may be told to use.
    pub hosts: Vec<EntryRow>,
    /// Targets that are to receive no new work.
    pub leaving_targets: BTreeSet<TargetId>,
    /// Strikes that peers told of.
    pub strikes: Vec<TargetStrike>,
    /// How far this daemon is with its shutdown.
    pub phase: EntryPhase,
}

impl FleetView {
    /// Version of the sheet in force, 0 if there is none.
    pub fn version(&self) -> SheetVersion {
        self.sheet.as_ref().map_or(0, |sheet| sheet.version())
    }
}
