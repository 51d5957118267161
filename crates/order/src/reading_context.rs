use {
    crate::{EngineState, FencingToken, OrderAction, OrderReport, ReadingNumber, WantedState},
    base::{SheetVersion, TargetId},
    std::time::{Duration, Instant},
};

/// Decision that follows from a reading, before the limit on model loads is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderDecision {
    /// The engine has obeyed a later sheet than the one in force here.
    NewerSheetSeen { version: SheetVersion },
    /// The engine is in the wanted state.
    Settled,
    /// The engine is on its way to the wanted state but still loads models.
    Loading,
    /// An order is needed, but is not allowed until `pause` has passed.
    Wait { pause: Duration },
    /// An order is needed that makes the engine load `loads` models.
    Order { loads: usize },
}

/// State and limits that one reading of an engine is compared with.
#[derive(Debug)]
pub(crate) struct ReadingContext {
    pub(crate) target: TargetId,
    pub(crate) address: String,
    pub(crate) reading: ReadingNumber,
    /// Version of the sheet in force.
    pub(crate) version: SheetVersion,
    /// State that this sheet wants.
    pub(crate) wanted: WantedState,
    /// Earliest time of an order.
    pub(crate) may_order_at: Instant,
    /// Time after which an order that follows from the reading must not be sent.
    pub(crate) expires_at: Instant,
}

impl ReadingContext {
    /// Compares the reported state with the wanted one and decides what to do.
    pub(crate) fn decide(&self, state: &EngineState, now: Instant) -> OrderDecision {
        if state.sheet_version > self.version {
            let version = state.sheet_version;
            return OrderDecision::NewerSheetSeen { version };
        }
        if state.sheet_version == self.version && self.wanted.is_met_by(state) {
            return if state.loading.is_empty() {
                OrderDecision::Settled
            } else {
                OrderDecision::Loading
            };
        }
        if now < self.may_order_at {
            let pause = self.may_order_at - now;
            return OrderDecision::Wait { pause };
        }
        let loads = self.wanted.missing_models(state);
        OrderDecision::Order { loads }
    }

    /// Returns the action that orders the engine into the wanted state.
    pub(crate) fn send_action(&self, fence: FencingToken) -> OrderAction {
        OrderAction::SendOrder {
            target: self.target.clone(),
            address: self.address.clone(),
            reading: self.reading,
            order: self.wanted.order(fence, self.version),
            expires_at: self.expires_at,
        }
    }

    /// Returns the action that reports on the target.
    pub(crate) fn report_action(&self, report: OrderReport) -> OrderAction {
        OrderAction::Report {
            target: self.target.clone(),
            report,
        }
    }
}
