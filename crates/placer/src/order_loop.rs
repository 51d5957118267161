use {
    crate::{
        engine_client::EngineClient,
        placer_state::{PlacerState, current_time},
    },
    base::TargetId,
    order::{EngineOrder, OrderAction, OrderEvent, OrderReport, ReadingNumber},
    slog::{info, warn},
    stamp::EventKind,
    std::{rc::Rc, time::Instant},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender},
};

/// Passes events to the planner and performs the actions that it returns.
pub struct OrderLoop {
    state: Rc<PlacerState>,
    client: EngineClient,
    event_sender: UnboundedSender<OrderEvent>,
}

impl OrderLoop {
    pub fn new(state: Rc<PlacerState>, event_sender: UnboundedSender<OrderEvent>) -> Self {
        Self {
            state,
            client: EngineClient::new(),
            event_sender,
        }
    }

    /// Runs until all senders of events are dropped; the planner gets a tick when none arrives in
    /// time.
    pub async fn run(self, mut event_receiver: UnboundedReceiver<OrderEvent>) {
        loop {
            let now = Instant::now();
            let wakeup = self.state.planner.borrow().next_wakeup(now);
            let wait = wakeup.saturating_duration_since(now);
            let received = actix_rt::time::timeout(wait, event_receiver.recv()).await;
            let event = match received {
                Ok(Some(event)) => event,
                Ok(None) => return,
                Err(_) => OrderEvent::Tick,
            };
            let actions = self
                .state
                .planner
                .borrow_mut()
                .handle(event, current_time());
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
            } => self.read_engine(target, address, reading),
            OrderAction::SendOrder {
                target,
                address,
                reading,
                order,
                expires_at,
            } => self.send_order(target, address, reading, order, expires_at),
            OrderAction::NewerSheetSeen { version } => {
                let seen_version = self.state.seen_version.get();
                self.state.seen_version.set(seen_version.max(version));
                self.state.metrics.count("orders_behind", 1);
            }
            OrderAction::Report { target, report } => self.record_report(&target, report),
        }
    }

    fn read_engine(&self, target: TargetId, address: String, reading: ReadingNumber) {
        let (client, event_sender) = (self.client.clone(), self.event_sender.clone());
        let timeout = self.state.settings.orders.lease;
        actix_rt::spawn(async move {
            let event = match client.read_state(&address, timeout).await {
                Ok(state) => OrderEvent::EngineRead {
                    target,
                    reading,
                    state,
                },
                Err(_) => OrderEvent::ReadingOrOrderFailed { target, reading },
            };
            let _ = event_sender.send(event);
        });
    }

    fn send_order(
        &self,
        target: TargetId,
        address: String,
        reading: ReadingNumber,
        order: EngineOrder,
        expires_at: Instant,
    ) {
        let state = Rc::clone(&self.state);
        let (client, event_sender) = (self.client.clone(), self.event_sender.clone());
        state.metrics.count("orders_sent", 1);
        state.record(EventKind::OrderSent, |event| {
            event
                .with_member(&target)
                .with_sheet_version(order.sheet_version)
                .with_detail(format!("fence {}", order.fence))
        });
        actix_rt::spawn(async move {
            let event = match client.send_order(&address, &order, expires_at).await {
                Ok(true) => OrderEvent::OrderAccepted { target, reading },
                Ok(false) => OrderEvent::OrderRefused { target, reading },
                Err(error) => {
                    warn!(state.log,
                        "cannot deliver an order, or its outcome is unknown; will read the engine";
                        "target" => &target, "error" => format!("{error:#}"));
                    OrderEvent::ReadingOrOrderFailed { target, reading }
                }
            };
            let _ = event_sender.send(event);
        });
    }

    /// Logs and counts what came of an order, and adds it to the timeline.
    fn record_report(&self, target: &TargetId, report: OrderReport) {
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
