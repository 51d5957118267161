use {
    crate::{
        engine_client::EngineClient,
        placer_state::{PlacerState, order_time},
    },
    base::TargetId,
    order::{EngineOrder, OrderAction, OrderEvent, OrderReport, ReadingNumber},
    slog::{info, warn},
    stamp::EventKind,
    std::{rc::Rc, time::Instant},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender},
};

/// Feeds the planner and does what it wants done.
pub struct OrderLoop {
    state: Rc<PlacerState>,
    client: EngineClient,
    events: UnboundedSender<OrderEvent>,
}

impl OrderLoop {
    pub fn new(state: Rc<PlacerState>, events: UnboundedSender<OrderEvent>) -> Self {
        Self {
            state,
            client: EngineClient::new(),
            events,
        }
    }

    /// Runs until nobody can send events.
    pub async fn run(self, mut incoming: UnboundedReceiver<OrderEvent>) {
        loop {
            let now = Instant::now();
            let wakeup = self.state.planner.borrow().next_wakeup(now);
            let wait = wakeup.saturating_duration_since(now);
            let next = actix_rt::time::timeout(wait, incoming.recv()).await;
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return,
                Err(_) => OrderEvent::Tick,
            };
            let actions = self.state.planner.borrow_mut().handle(event, order_time());
            for action in actions {
                self.perform(action);
            }
        }
    }

    fn perform(&self, action: OrderAction) {
        match action {
            OrderAction::ReadEngine {
                target,
                address,
                reading,
            } => self.read(target, address, reading),
            OrderAction::SendOrder {
                target,
                address,
                reading,
                order,
                expires_at,
            } => self.send(target, address, reading, order, expires_at),
            OrderAction::NewerSheetSeen { version } => {
                let seen = self.state.seen_version.get();
                self.state.seen_version.set(seen.max(version));
                self.state.metrics.count("orders_behind", 1);
            }
            OrderAction::Report { target, report } => self.report(&target, report),
        }
    }

    fn read(&self, target: TargetId, address: String, reading: ReadingNumber) {
        let (client, events) = (self.client.clone(), self.events.clone());
        let limit = self.state.settings.orders.lease;
        actix_rt::spawn(async move {
            let event = match client.read(&address, limit).await {
                Ok(state) => OrderEvent::EngineRead {
                    target,
                    reading,
                    state,
                },
                Err(_) => OrderEvent::ReadingFailed { target, reading },
            };
            let _ = events.send(event);
        });
    }

    fn send(
        &self,
        target: TargetId,
        address: String,
        reading: ReadingNumber,
        order: EngineOrder,
        expires_at: Instant,
    ) {
        let state = Rc::clone(&self.state);
        let (client, events) = (self.client.clone(), self.events.clone());
        state.metrics.count("orders_sent", 1);
        state.record(EventKind::OrderSent, |event| {
            event
                .with_member(&target)
                .with_sheet_version(order.sheet_version)
                .with_detail(format!("fence {}", order.fence))
        });
        actix_rt::spawn(async move {
            let event = match client.order(&address, &order, expires_at).await {
                Ok(true) => OrderEvent::OrderAccepted { target, reading },
                Ok(false) => OrderEvent::OrderRefused { target, reading },
                Err(error) => {
                    warn!(state.log, "order failed"; "target" => &target,
                        "error" => format!("{error:#}"));
                    OrderEvent::ReadingFailed { target, reading }
                }
            };
            let _ = events.send(event);
        });
    }

    fn report(&self, target: &TargetId, report: OrderReport) {
        let (kind, counter) = match report {
            OrderReport::Settled { .. } => (EventKind::OrderSettled, "orders_settled"),
            OrderReport::Refused => (EventKind::OrderRefused, "orders_refused"),
            OrderReport::FenceSpent => (EventKind::OrderRefused, "fences_spent"),
        };
        info!(self.state.log, "order"; "target" => target, "report" => report.to_string());
        self.state.metrics.count(counter, 1);
        self.state.record(kind, |event| {
            let event = event.with_member(target).with_detail(report.to_string());
            match report {
                OrderReport::Settled { version } => event.with_sheet_version(version),
                OrderReport::Refused | OrderReport::FenceSpent => event,
            }
        });
    }
}
