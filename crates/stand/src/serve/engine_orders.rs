use {
    stand::{EngineOrder, EngineState},
    std::cell::RefCell,
};

/// The state of an engine that orders change: its models, adapters and role.
pub struct EngineOrders {
    state: RefCell<EngineState>,
    last_order: RefCell<Option<EngineOrder>>,
    /// True if orders with an old fencing token are refused.
    checks_orders: bool,
    /// True if the engine started without models and so serves any of them until its first order.
    started_empty: bool,
}

impl EngineOrders {
    /// Creates the state of an engine that starts with these models loaded. With none, it serves
    /// any model until its first order.
    pub fn new(models: Vec<String>, checks_orders: bool) -> Self {
        let started_empty = models.is_empty();
        let state = EngineState {
            models,
            role: String::from("serve"),
            ..EngineState::default()
        };
        Self {
            state: RefCell::new(state),
            last_order: RefCell::new(None),
            checks_orders,
            started_empty,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> EngineState {
        self.state.borrow().clone()
    }

    /// Returns true if the engine can answer with this model, given as `name` or `name@version`.
    pub fn serves(&self, model: &str) -> bool {
        if self.started_empty && self.last_order.borrow().is_none() {
            return true;
        }
        let state = self.state.borrow();
        let mut loaded = state.models.iter();
        loaded.any(|name| name == model || name.split('@').next() == Some(model))
    }

    /// Applies an order; returns false if it is refused because of its fencing token. The order
    /// applied last is accepted again.
    pub fn apply(&self, order: EngineOrder) -> bool {
        let mut state = self.state.borrow_mut();
        let mut last_order = self.last_order.borrow_mut();
        let is_repeated = last_order.as_ref() == Some(&order);
        let is_current = order.fence > state.fence || (order.fence == state.fence && is_repeated);
        if self.checks_orders && !is_current {
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
        *last_order = Some(order);
        true
    }

    /// Begins the next load and returns its model, or `None` if none is left to load.
    pub fn begin_load(&self) -> Option<String> {
        let mut state = self.state.borrow_mut();
        let name = state.loading.first().cloned()?;
        state.loads += 1;
        Some(name)
    }

    /// Marks a model as loaded, unless an order has removed it in the meantime.
    pub fn end_load(&self, name: &str) {
        let mut state = self.state.borrow_mut();
        let previous_count = state.loading.len();
        state.loading.retain(|loading| loading != name);
        if state.loading.len() < previous_count {
            state.models.push(name.to_string());
        }
    }
}
