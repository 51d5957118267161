use {
    crate::FencingToken,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// Body of `POST /engine/order`: the complete state that an engine must change to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token of the order.
    pub fence: FencingToken,
    /// Models to load; all others are unloaded.
    pub models: Vec<String>,
    /// Adapters to load; all others are unloaded.
    pub adapters: Vec<String>,
    /// Role that the engine must take.
    pub role: String,
    /// Version of the sheet that the order follows from.
    pub sheet_version: SheetVersion,
}
