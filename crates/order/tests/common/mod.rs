#![allow(dead_code)]

use {
    order::{EngineOrder, EngineState},
    sheet::{FleetSheet, IndexPart, SheetIndex},
    std::sync::Arc,
};

/// Creates a sheet that wants the models `m@{version}` and `base` on each of the engines `e0`,
/// `e1` and so on.
pub fn fleet_sheet(version: u64, engine_count: usize, checks_orders: bool) -> Arc<FleetSheet> {
    let mut text = String::from(
        "[[pipeline]]\nname = \"p\"\ndeadline = \"1s\"\n\
         stage = [{ pool = \"engines\", call = \"generate\", expected = \"9ms\" }]\n\
         [[pool]]\nname = \"engines\"\nkind = \"engine\"\n",
    );
    for number in 0..engine_count {
        text.push_str(&format!(
            "[[target]]\nname = \"e{number}\"\npool = \"engines\"\ndata_centre = \"erie\"\n\
             address = \"127.0.0.1:{}\"\ncapacity = 4\nmodels = [\"m@{version}\", \"base\"]\n\
             checks_orders = {checks_orders}\n",
            9_000 + number
        ));
    }
    let part = IndexPart {
        key: String::from("fleet"),
        digest: SheetIndex::part_digest(&text),
    };
    let index = SheetIndex {
        version,
        part: vec![part],
    };
    Arc::new(FleetSheet::assemble(index, &[text]).unwrap())
}

/// Simulated engine that handles orders only; it loads models instantly.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    pub state: EngineState,
    pub checks_orders: bool,
}

impl FakeEngine {
    /// Obeys an order; returns false if the engine refuses it because of its fencing token.
    pub fn obey(&mut self, order: &EngineOrder) -> bool {
        if self.checks_orders && order.fence <= self.state.fence {
            return false;
        }
        self.state = EngineState {
            fence: self.state.fence.max(order.fence),
            models: order.models.clone(),
            loading: Vec::new(),
            adapters: order.adapters.clone(),
            role: order.role.clone(),
            sheet_version: order.sheet_version,
        };
        true
    }

    /// Returns true if the engine is in the state that the sheet of this version wants.
    pub fn is_in_state_of(&self, version: u64) -> bool {
        let wanted = [String::from("base"), format!("m@{version}")];
        self.state.models == wanted && self.state.sheet_version == version
    }
}
