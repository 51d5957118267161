use {
    crate::{
        EngineState, LoadBucket, OrderAction, OrderEvent, OrderLimits, OrderReport, OrderTime,
        ReadingNumber, TargetOwnership, WantedState, next_fence,
        reading_context::{OrderDecision, ReadingContext},
        target_progress::TargetProgress,
    },
    base::{HostId, TargetId},
    sheet::FleetSheet,
    stamp::HybridClock,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Pause before the next reading after a reading failed or an order was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Shortest pause between two readings of one engine.
const MIN_READING_PAUSE: Duration = Duration::from_millis(50);

/// Result of an attempt to create an order.
enum OrderOutcome {
    /// The action that sends the order.
    Created(OrderAction),
    /// The limit on model loads allows no order before this time has passed.
    RateLimited(Duration),
    /// No fencing token is larger than the one that the engine reported.
    FenceSpent,
}

/// Decides which orders one host sends to engines. It does no I/O: events go in, actions come out.
///
/// An order is sent only to a target that this host owns according to a list of live hosts that is
/// no older than a lease, only after the engine was read, and only within a lease of the start of
/// that reading. It contains the complete state that the sheet in force wants. An engine that has
/// obeyed a later sheet gets no order. After a pause longer than a lease, the list of hosts and all
/// engines are read again.
///
/// ```
/// use order::{OrderAction, OrderEvent, OrderLimits, OrderPlanner, OrderTime};
/// use std::time::Instant;
///
/// let time = OrderTime { now: Instant::now(), wall_us: 1_700_000_000_000_000 };
/// let mut planner = OrderPlanner::new("h1", OrderLimits::default(), time);
/// let hosts = vec!["h1".to_string()];
/// let event = OrderEvent::HostsLive { hosts, asked_at: time.now };
/// let actions = planner.handle(event, time);
/// assert_eq!(actions, [], "without a sheet there is nothing to order");
/// assert!(planner.next_wakeup(time.now) > time.now);
/// assert_eq!(planner.owned_targets().count(), 0);
/// ```
#[derive(Debug)]
pub struct OrderPlanner {
    host: HostId,
    limits: OrderLimits,
    sheet: Option<Arc<FleetSheet>>,
    ownership: TargetOwnership,
    /// When the read of the latest list of live hosts began; `None` if there is no list or it has
    /// expired.
    hosts_asked_at: Option<Instant>,
    owned_targets: BTreeMap<TargetId, TargetProgress>,
    bucket: LoadBucket,
    clock: HybridClock,
    last_reading: ReadingNumber,
}

impl OrderPlanner {
    /// Creates a planner that owns no target until it gets a sheet and a list of live hosts.
    pub fn new(host: impl Into<HostId>, limits: OrderLimits, time: OrderTime) -> Self {
        Self {
            host: host.into(),
            limits,
            sheet: None,
            ownership: TargetOwnership::default(),
            hosts_asked_at: None,
            owned_targets: BTreeMap::new(),
            bucket: LoadBucket::new(limits.loads_per_second, time.now),
            clock: HybridClock::new(),
            last_reading: 0,
        }
    }

    /// Returns the targets that this host owns, each with the latest sheet version whose state its
    /// engine was found in; `None` before the first.
    pub fn owned_targets(&self) -> impl Iterator<Item = (&TargetId, Option<u64>)> {
        self.owned_targets
            .iter()
            .map(|(target, progress)| (target, progress.settled_version))
    }

    /// Returns the time by which the next tick is due, at most a third of a lease away. The caller
    /// also has to read the list of live hosts again by then, before the present one expires.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        let lease_check_at = now + self.limits.lease / 3;
        let owned_targets = self.owned_targets.values();
        let next_reading = owned_targets
            .map(|progress| progress.next_wakeup(&self.limits))
            .min();
        next_reading.map_or(lease_check_at, |at| at.min(lease_check_at))
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, event: OrderEvent, time: OrderTime) -> Vec<OrderAction> {
        let now = time.now;
        self.expire_hosts(now);
        let mut actions = Vec::new();
        match event {
            OrderEvent::SheetInForce { sheet } => self.handle_sheet(sheet, now),
            OrderEvent::HostsLive { hosts, asked_at } => self.handle_hosts(hosts, asked_at, now),
            OrderEvent::EngineRead {
                target,
                reading,
                state,
            } => self.handle_reading(&target, reading, &state, time, &mut actions),
            OrderEvent::OrderAccepted { target, reading } => {
                self.end_reading(&target, reading, self.limits.read_period, now);
            }
            OrderEvent::OrderRefused { target, reading } => {
                if self.end_reading(&target, reading, RETRY_PAUSE, now) {
                    let report = OrderReport::Refused;
                    actions.push(OrderAction::Report { target, report });
                }
            }
            OrderEvent::ReadingOrOrderFailed { target, reading } => {
                self.end_reading(&target, reading, RETRY_PAUSE, now);
            }
            OrderEvent::Tick => {}
        }
        self.begin_readings(now, &mut actions);
        actions
    }

    fn handle_sheet(&mut self, sheet: Arc<FleetSheet>, now: Instant) {
        let version_in_force = self.sheet.as_ref().map_or(0, |sheet| sheet.version());
        if sheet.version() > version_in_force {
            self.sheet = Some(sheet);
            self.claim_targets(now);
        }
    }

    fn handle_hosts(&mut self, hosts: Vec<HostId>, asked_at: Instant, now: Instant) {
        if asked_at + self.limits.lease <= now {
            return;
        }
        let ownership = TargetOwnership::new(hosts);
        let is_changed = self.hosts_asked_at.is_none() || ownership != self.ownership;
        self.hosts_asked_at = self.hosts_asked_at.max(Some(asked_at));
        if is_changed {
            self.ownership = ownership;
            self.bucket.set_owner_count(self.ownership.host_count());
            self.claim_targets(now);
        }
    }

    /// Recomputes the owned targets from the sheet and the live hosts; the progress of targets that
    /// stay owned is kept.
    fn claim_targets(&mut self, now: Instant) {
        let Some(sheet) = &self.sheet else {
            return;
        };
        if self.hosts_asked_at.is_none() {
            return;
        }
        let mut owned_targets = BTreeMap::new();
        for target in sheet.targets.keys() {
            let is_owned = self.ownership.owner_of(target) == Some(&self.host);
            if is_owned && WantedState::of(sheet, target).is_some() {
                let progress = self.owned_targets.remove(target);
                owned_targets.insert(
                    target.clone(),
                    progress.unwrap_or_else(|| TargetProgress::new(now)),
                );
            }
        }
        self.owned_targets = owned_targets;
    }

    /// Gives up all targets once the list of live hosts has expired, as after a pause of this host.
    fn expire_hosts(&mut self, now: Instant) {
        let lease = self.limits.lease;
        if self.hosts_asked_at.is_some_and(|at| at + lease <= now) {
            self.hosts_asked_at = None;
            self.owned_targets.clear();
        }
    }

    fn begin_readings(&mut self, now: Instant, actions: &mut Vec<OrderAction>) {
        let Some(sheet) = &self.sheet else {
            return;
        };
        for (target, progress) in &mut self.owned_targets {
            let Some(row) = sheet.targets.get(target) else {
                continue;
            };
            if progress.is_reading_due(&self.limits, now) {
                self.last_reading += 1;
                progress.begin_reading(self.last_reading, now);
                actions.push(OrderAction::ReadEngine {
                    target: target.clone(),
                    address: row.address.clone(),
                    reading: self.last_reading,
                });
            }
        }
    }

    /// Ends a reading and schedules the next one after `pause`. Returns false, and changes
    /// nothing, if that reading is not the current one or its lease has expired.
    fn end_reading(
        &mut self,
        target: &str,
        reading: ReadingNumber,
        pause: Duration,
        now: Instant,
    ) -> bool {
        let Some(progress) = self.owned_targets.get_mut(target) else {
            return false;
        };
        let is_current = progress
            .reading_started_at(reading, &self.limits, now)
            .is_some();
        if is_current {
            progress.set_idle_until(now + pause);
        }
        is_current
    }

    fn handle_reading(
        &mut self,
        target: &str,
        reading: ReadingNumber,
        state: &EngineState,
        time: OrderTime,
        actions: &mut Vec<OrderAction>,
    ) {
        let Some(context) = self.reading_context(target, reading, time.now) else {
            return;
        };
        let period = self.limits.read_period;
        let pause = match context.decide(state, time.now) {
            OrderDecision::NewerSheetSeen { version } => {
                actions.push(OrderAction::NewerSheetSeen { version });
                period
            }
            OrderDecision::Settled => {
                self.report_settled(&context, actions);
                period
            }
            OrderDecision::Loading => period,
            OrderDecision::Wait { pause } => pause.min(period),
            OrderDecision::Order { loads } => match self.create_order(&context, state, loads, time)
            {
                OrderOutcome::Created(action) => {
                    actions.push(action);
                    return;
                }
                OrderOutcome::RateLimited(wait) => wait.min(period),
                OrderOutcome::FenceSpent => {
                    actions.push(context.report_action(OrderReport::FenceSpent));
                    period
                }
            },
        };
        self.end_reading(target, reading, pause.max(MIN_READING_PAUSE), time.now);
    }

    /// Returns what a reading is compared with; `None` if the reading is not the current one or its
    /// lease has expired.
    fn reading_context(
        &self,
        target: &str,
        reading: ReadingNumber,
        now: Instant,
    ) -> Option<ReadingContext> {
        let progress = self.owned_targets.get(target)?;
        let started_at = progress.reading_started_at(reading, &self.limits, now)?;
        let sheet = self.sheet.as_ref()?;
        let row = sheet.targets.get(target)?;
        let version = sheet.version();
        Some(ReadingContext {
            target: target.to_string(),
            address: row.address.clone(),
            reading,
            version,
            wanted: WantedState::of(sheet, target)?,
            may_order_at: progress.may_order_at(version, row.checks_orders, &self.limits),
            expires_at: started_at + self.limits.lease,
        })
    }

    /// Creates the order for a reading, unless the load limit or the fencing token prevents it, and
    /// records it as sent.
    fn create_order(
        &mut self,
        context: &ReadingContext,
        state: &EngineState,
        loads: usize,
        time: OrderTime,
    ) -> OrderOutcome {
        let Some(fence) = next_fence(state.fence, self.clock.now(time.wall_us)) else {
            return OrderOutcome::FenceSpent;
        };
        if let Err(wait) = self.bucket.take(loads, time.now) {
            return OrderOutcome::RateLimited(wait);
        }
        if let Some(progress) = self.owned_targets.get_mut(&context.target) {
            progress.record_order(context.version, time.now);
        }
        OrderOutcome::Created(context.send_action(fence))
    }

    fn report_settled(&mut self, context: &ReadingContext, actions: &mut Vec<OrderAction>) {
        let version = context.version;
        if let Some(progress) = self.owned_targets.get_mut(&context.target)
            && progress.settled_version.replace(version) != Some(version)
        {
            actions.push(context.report_action(OrderReport::Settled { version }));
        }
    }
}
