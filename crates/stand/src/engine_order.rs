use {
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// Whole wanted state of an engine: body of `POST /engine/order`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineOrder {
    /// Fencing number of the order.
    pub fence: u64,
    /// Models that the engine should have loaded.
    pub models: Vec<String>,
    /// Adapters that the engine should have loaded.
    pub adapters: Vec<String>,
    /// Role that the engine should take.
    pub role: String,
    /// Version of the sheet that wants it so.
    pub sheet_version: SheetVersion,
}

/// State of an engine: body of the answer to `GET /engine`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Largest fencing number that the engine was given.
    pub fence: u64,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Models that are being loaded or wait for it.
    pub loading: Vec<String>,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Role that the engine has.
    pub role: String,
    /// Version of the sheet that the last order came from.
    pub sheet_version: SheetVersion,
    /// Loads of models that were begun since the engine started.
    pub loads: u64,
    /// Orders that were obeyed since the engine started.
    pub orders: u64,
    /// Orders that were refused since the engine started.
    pub refused: u64,
}
