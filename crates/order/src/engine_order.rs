use {
    crate::FenceNumber,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// Whole state that an engine should take: body of `POST /engine/order`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the order.
    pub fence: FenceNumber,
    /// Models that should be loaded.
    pub models: Vec<String>,
    /// Adapters that should be loaded.
    pub adapters: Vec<String>,
    /// Role that the engine should take.
    pub role: String,
    /// Version of the sheet that wants it so.
    pub sheet_version: SheetVersion,
}
