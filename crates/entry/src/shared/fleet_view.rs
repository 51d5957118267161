use {
    crate::shared::EntryLife,
    base::{HostRow, SheetVersion, TargetId},
    sheet::FleetSheet,
    std::{collections::BTreeSet, sync::Arc},
};

/// What the controllers know, as the data path sees it. Each snapshot is immutable.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Sheet in force; absent until one was adopted.
    pub sheet: Option<Arc<FleetSheet>>,
    /// Latest version that anyone is known to have.
    pub latest_version: SheetVersion,
    /// Entries that callers may be told to use.
    pub hosts: Vec<HostRow>,
    /// Targets that are to receive no new work.
    pub leaving_targets: BTreeSet<TargetId>,
    /// How far this daemon is with its shutdown.
    pub life: EntryLife,
}

impl FleetView {
    /// Version of the sheet in force, 0 if there is none.
    pub fn version(&self) -> SheetVersion {
        self.sheet.as_ref().map_or(0, |sheet| sheet.version())
    }
}
