use {
    base::{CentreId, TargetId},
    sheet::TargetRow,
};

/// Configuration of a target from the sheet or the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSpec {
    /// Name of the target.
    pub target: TargetId,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Data centre of the target.
    pub data_centre: CentreId,
    /// Number of calls that the target can run at once.
    pub capacity: u32,
    /// True if the target must not get new work.
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
