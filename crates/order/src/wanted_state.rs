use {
    crate::{EngineOrder, EngineState, FencingToken},
    sheet::FleetSheet,
    std::collections::BTreeSet,
};

/// Role of every engine that gets orders from a sheet.
const SERVE_ROLE: &str = "serve";

/// State that a sheet wants an engine to be in. It depends on the sheet alone, so that all owners
/// want the same state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedState {
    /// Models that must be loaded.
    pub models: BTreeSet<String>,
    /// Role that the engine must have.
    pub role: String,
}

impl WantedState {
    /// Returns the state that the sheet wants for a target; `None` if the target gets no orders
    /// because it is unknown, not in a pool of engines, leaving, or listed without models. An engine
    /// without models in the sheet is managed by someone else.
    ///
    /// ```
    /// use {order::WantedState, sheet::{FleetSheet, SheetIndex}};
    ///
    /// let index = SheetIndex { version: 1, part: Vec::new() };
    /// let sheet = FleetSheet::assemble(index, &[]).unwrap();
    /// assert_eq!(WantedState::of(&sheet, "reader-1"), None);
    /// ```
    pub fn of(sheet: &FleetSheet, target: &str) -> Option<Self> {
        let row = sheet.targets.get(target)?;
        let may_get_orders = !row.leaving && !row.models.is_empty();
        let models = row.models.iter().cloned().collect();
        (may_get_orders && sheet.is_engine_pool(&row.pool)).then(|| Self {
            models,
            role: String::from(SERVE_ROLE),
        })
    }

    /// Returns true if the engine is in this state or loading the models for it.
    pub fn is_met_by(&self, state: &EngineState) -> bool {
        let wanted: BTreeSet<&str> = self.models.iter().map(String::as_str).collect();
        state.held_models() == wanted && state.adapters.is_empty() && state.role == self.role
    }

    /// Returns the number of models that the engine would have to load.
    pub fn missing_models(&self, state: &EngineState) -> usize {
        let held = state.held_models();
        let missing = self
            .models
            .iter()
            .filter(|model| !held.contains(model.as_str()));
        missing.count()
    }

    /// Creates the order for this state.
    pub fn order(&self, fence: FencingToken, sheet_version: u64) -> EngineOrder {
        EngineOrder {
            fence,
            models: self.models.iter().cloned().collect(),
            adapters: Vec::new(),
            role: self.role.clone(),
            sheet_version,
        }
    }
}
