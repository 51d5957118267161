use {
    stand::{EngineOrder, EngineState},
    std::cell::RefCell,
};

/// Orders that an engine was given, and what it has loaded by them.
pub struct EngineOrders {
    state: RefCell<EngineState>,
    last: RefCell<Option<EngineOrder>>,
    checks: bool,
    any_model: bool,
}

impl EngineOrders {
    /// Engine with these models; with none it serves any model until its first order.
    pub fn new(models: Vec<String>, checks: bool) -> Self {
        let any_model = models.is_empty();
        let state = EngineState {
            models,
            role: String::from("serve"),
            ..EngineState::default()
        };
        Self {
            state: RefCell::new(state),
            last: RefCell::new(None),
            checks,
            any_model,
        }
    }

    /// State as it is now.
    pub fn state(&self) -> EngineState {
        self.state.borrow().clone()
    }

    /// True if the engine can answer with this model, given as `name` or `name@version`.
    pub fn serves(&self, model: &str) -> bool {
        if self.any_model && self.last.borrow().is_none() {
            return true;
        }
        let state = self.state.borrow();
        let mut loaded = state.models.iter();
        loaded.any(|name| name == model || name.split('@').next() == Some(model))
    }

    /// Obeys an order; false if it is refused for its fencing number.
    pub fn obey(&self, order: EngineOrder) -> bool {
        let mut state = self.state.borrow_mut();
        let mut last = self.last.borrow_mut();
        let repeated = last.as_ref() == Some(&order);
        let fresh = order.fence > state.fence || (order.fence == state.fence && repeated);
        if self.checks && !fresh {
            state.refused += 1;
            return false;
        }
        state.orders += 1;
        state.fence = state.fence.max(order.fence);
        state.role.clone_from(&order.role);
        state.adapters.clone_from(&order.adapters);
        state.sheet_version = order.sheet_version;
        state.models.retain(|name| order.models.contains(name));
        state.loading.retain(|name| order.models.contains(name));
        for name in &order.models {
            if !state.models.contains(name) && !state.loading.contains(name) {
                state.loading.push(name.clone());
            }
        }
        *last = Some(order);
        true
    }

    /// Begins the next load; `None` if nothing is to be loaded.
    pub fn begin_load(&self) -> Option<String> {
        let mut state = self.state.borrow_mut();
        let name = state.loading.first().cloned()?;
        state.loads += 1;
        Some(name)
    }

    /// Ends a load; nothing changes if the model is no longer wanted.
    pub fn end_load(&self, name: &str) {
        let mut state = self.state.borrow_mut();
        let before = state.loading.len();
        state.loading.retain(|loading| loading != name);
        if state.loading.len() < before {
            state.models.push(name.to_string());
        }
    }
}
