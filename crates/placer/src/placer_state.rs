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

/// Number of timeline events that are kept; the oldest one makes room for a new one.
const RING_CAPACITY: usize = 4_096;

/// State shared by the tasks of the process, which all run on one thread.
pub struct PlacerState {
    pub settings: PlacerSettings,
    pub log: Logger,
    pub metrics: MetricRegistry,
    pub planner: RefCell<OrderPlanner>,
    /// Version of the sheet in force, 0 if none.
    pub sheet_version: Cell<SheetVersion>,
    /// Latest sheet version that an engine reported while an older one was in force here, 0 if
    /// none.
    pub seen_version: Cell<SheetVersion>,
    process: String,
    clock: RefCell<HybridClock>,
    ring: RefCell<EventRing>,
}

/// Body of the answer to `GET /status`.
#[derive(Debug, Serialize)]
pub struct StatusAnswer {
    host: String,
    sheet_version: SheetVersion,
    seen_version: SheetVersion,
    /// Sheet version whose wanted state each owned target has reached, 0 if none.
    targets: BTreeMap<TargetId, SheetVersion>,
    counters: BTreeMap<String, i64>,
}

impl PlacerState {
    /// Creates the state and records the start of the process in the timeline.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened for statsd.
    pub fn open(settings: PlacerSettings, log: Logger) -> anyhow::Result<Self> {
        let process = format!("{}-placer", settings.host);
        let limits = settings.orders.limits();
        let state = Self {
            log,
            metrics: MetricRegistry::open(settings.statsd)?,
            planner: RefCell::new(OrderPlanner::new(&settings.host, limits, current_time())),
            sheet_version: Cell::new(0),
            seen_version: Cell::new(0),
            process,
            clock: RefCell::default(),
            ring: RefCell::new(EventRing::new(RING_CAPACITY)),
            settings,
        };
        state.record(EventKind::ProcessStarted, |event| event);
        Ok(state)
    }

    /// Records a timeline event; `add_fields` sets its optional fields.
    pub fn record(&self, kind: EventKind, add_fields: impl FnOnce(TimelineEvent) -> TimelineEvent) {
        let at = self.clock.borrow_mut().now(current_time().wall_us);
        let event = TimelineEvent::new(at, &self.process, kind);
        self.ring.borrow_mut().push(add_fields(event));
    }

    /// Returns the recorded events that match, the oldest first.
    pub fn events(&self, filter: &EventFilter) -> Vec<TimelineEvent> {
        self.ring.borrow().select(filter)
    }

    /// Returns the answer to `GET /status`.
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

/// Reads the monotonic clock and the wall clock of this host.
pub fn current_time() -> OrderTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let wall_us = since_epoch.unwrap_or_default().as_micros();
    OrderTime {
        now: Instant::now(),
        wall_us: u64::try_from(wall_us).unwrap_or(u64::MAX),
    }
}
