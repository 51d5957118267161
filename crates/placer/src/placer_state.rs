use {
    crate::placer_settings::PlacerSettings,
    base::{SheetVersion, TargetId},
    order::{OrderPlanner, OrderTime},
    serde::Serialize,
    setup::MetricRegistry,
    slog::Logger,
    stamp::{EventFilter, EventKind, EventRing, HybridClock, TimelineEvent},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Events that the ring holds.
const RING_EVENTS: usize = 4_096;

/// What the tasks of the process share. All of them run on one thread.
pub struct PlacerState {
    pub settings: PlacerSettings,
    pub log: Logger,
    pub metrics: MetricRegistry,
    pub planner: RefCell<OrderPlanner>,
    /// Version of the sheet in force, 0 if none.
    pub sheet_version: Cell<SheetVersion>,
    /// Latest version that an engine has met.
    pub seen_version: Cell<SheetVersion>,
    process: String,
    clock: RefCell<HybridClock>,
    ring: RefCell<EventRing>,
}

/// What `GET /status` answers.
#[derive(Debug, Serialize)]
pub struct StatusAnswer {
    host: String,
    sheet_version: SheetVersion,
    seen_version: SheetVersion,
    /// Sheet version that each owned target is settled in, 0 if none.
    targets: BTreeMap<TargetId, SheetVersion>,
    counters: BTreeMap<String, i64>,
}

impl PlacerState {
    /// State of a process that starts.
    pub fn open(settings: PlacerSettings, log: Logger) -> anyhow::Result<Self> {
        let process = format!("{}-placer", settings.host);
        let limits = settings.orders.limits();
        let state = Self {
            log,
            metrics: MetricRegistry::open(settings.statsd)?,
            planner: RefCell::new(OrderPlanner::new(&settings.host, limits, order_time())),
            sheet_version: Cell::new(0),
            seen_version: Cell::new(0),
            process,
            clock: RefCell::default(),
            ring: RefCell::new(EventRing::new(RING_EVENTS)),
            settings,
        };
        state.record(EventKind::ProcessStarted, |event| event);
        Ok(state)
    }

    /// Records an event; `detail` adds what is known of it.
    pub fn record(&self, kind: EventKind, detail: impl FnOnce(TimelineEvent) -> TimelineEvent) {
        let at = self.clock.borrow_mut().now(order_time().wall_us);
        let event = TimelineEvent::new(at, &self.process, kind);
        self.ring.borrow_mut().push(detail(event));
    }

    /// Events that match.
    pub fn events(&self, filter: &EventFilter) -> Vec<TimelineEvent> {
        self.ring.borrow().select(filter)
    }

    /// What operators are told.
    pub fn status(&self) -> StatusAnswer {
        let planner = self.planner.borrow();
        let targets = planner
            .owned_targets()
            .map(|(target, settled)| (target.clone(), settled.unwrap_or_default()));
        StatusAnswer {
            host: self.settings.host.clone(),
            sheet_version: self.sheet_version.get(),
            seen_version: self.seen_version.get(),
            targets: targets.collect(),
            counters: self.metrics.values(),
        }
    }
}

/// The clocks of this host now.
pub fn order_time() -> OrderTime {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_us = passed.unwrap_or_default().as_micros();
    OrderTime {
        now: Instant::now(),
        wall_us: u64::try_from(wall_us).unwrap_or(u64::MAX),
    }
}
