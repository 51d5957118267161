use {
    crate::FencingToken,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Answer to `GET /engine`: the state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Largest fencing token that the engine has received, 0 if none since it started.
    pub fence: FencingToken,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Models that are being loaded.
    pub loading: Vec<String>,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Current role.
    pub role: String,
    /// Sheet version of the last order that it obeyed, 0 if none.
    pub sheet_version: SheetVersion,
}

impl EngineState {
    /// Returns the models that are loaded or being loaded.
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
