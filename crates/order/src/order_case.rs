use {
    crate::{EngineState, FenceNumber, OrderAction, OrderReport, ReadingNumber, WantedState},
    base::{SheetVersion, TargetId},
    std::time::{Duration, Instant},
};

/// What follows from a reading, before loads are rationed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderDecision {
    /// The engine has obeyed a later sheet than the one in force here.
    Behind { version: SheetVersion },
    /// The engine is in the wanted state.
    Settled,
    /// The engine is loading what is wanted.
    Loading,
    /// An order is needed, but not yet allowed.
    Wait { pause: Duration },
    /// An order is needed that makes the engine load so many models.
    Order { loads: usize },
}

/// What one reading of an engine is weighed against.
#[derive(Debug)]
pub(crate) struct OrderCase {
    pub(crate) target: TargetId,
    pub(crate) address: String,
    pub(crate) reading: ReadingNumber,
    pub(crate) version: SheetVersion,
    pub(crate) wanted: WantedState,
    pub(crate) may_order_at: Instant,
    pub(crate) expires_at: Instant,
}

impl OrderCase {
    /// Weighs what the engine said.
    pub(crate) fn weigh(&self, state: &EngineState, now: Instant) -> OrderDecision {
        if state.sheet_version > self.version {
            let version = state.sheet_version;
            return OrderDecision::Behind { version };
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

    /// The order that brings the engine into the wanted state.
    pub(crate) fn send(&self, fence: FenceNumber) -> OrderAction {
        OrderAction::SendOrder {
            target: self.target.clone(),
            address: self.address.clone(),
            reading: self.reading,
            order: self.wanted.order(fence, self.version),
            expires_at: self.expires_at,
        }
    }

    /// A report on the target.
    pub(crate) fn report(&self, report: OrderReport) -> OrderAction {
        OrderAction::Report {
            target: self.target.clone(),
            report,
        }
    }
}
