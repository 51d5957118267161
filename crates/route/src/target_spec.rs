use {
    base::{CentreId, TargetId},
    sheet::TargetRow,
};

/// A target as the sheet and the platform state it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Name of the target.
    pub target: TargetId,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Data centre that it stands in.
    pub data_centre: CentreId,
    /// Calls that it can run at once.
    pub capacity: u32,
    /// True if it is to receive no new work.
    pub leaving: bool,
}

impl From<&TargetRow> for TargetSpec {
    fn from(row: &TargetRow) -> Self {
        Self {
            target: row.name.clone(),
            address: row.address.clone(),
            data_centre: row.data_centre.clone(),
            capacity: row.capacity,
            leaving: row.leaving,
        }
    }
}
