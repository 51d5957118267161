use {
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// Whole state that an engine should take: body of `POST /engine/order`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineOrder {
    /// Fencing token of the order.
    pub fence: u64,
    /// Models that the engine should have loaded.
    pub models: Vec<String>,
    /// Adapters that the engine should have loaded.
    pub adapters: Vec<String>,
    /// Role that the engine should take.
    pub role: String,
    /// Version of the sheet that the order follows from.
    pub sheet_version: SheetVersion,
}

/// State of an engine: body of the answer to `GET /engine`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Largest fencing token that the engine has accepted, 0 if none.
    pub fence: u64,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Models that are being loaded or wait to be loaded.
    pub loading: Vec<String>,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Role that the engine has.
    pub role: String,
    /// Version of the sheet that the last applied order followed from, 0 if none.
    pub sheet_version: SheetVersion,
    /// Number of model loads that were begun since the engine started.
    pub loads: u64,
    /// Number of orders that were applied since the engine started.
    pub orders: u64,
    /// Number of orders that were refused since the engine started.
    pub refused: u64,
}
