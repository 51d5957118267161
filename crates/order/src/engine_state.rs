use {
    crate::FenceNumber,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// What an engine says of itself: answer to `GET /engine`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Largest fencing number that it was given, 0 if none since it started.
    pub fence: FenceNumber,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Models that are being loaded.
    pub loading: Vec<String>,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Role that it has.
    pub role: String,
    /// Version of the sheet that its last order came from, 0 if none.
    pub sheet_version: SheetVersion,
}

impl EngineState {
    /// Models that are loaded or will be.
    ///
    /// ```
    /// let state = order::EngineState {
    ///     models: vec!["reader@1".into()],
    ///     loading: vec!["reader@2".into()],
    ///     ..Default::default()
    /// };
    /// assert_eq!(state.held_models().len(), 2);
    /// ```
    pub fn held_models(&self) -> BTreeSet<&str> {
        let models = self.models.iter().chain(&self.loading);
        models.map(String::as_str).collect()
    }
}
