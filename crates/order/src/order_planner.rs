use {
    crate::{
        EngineState, LoadBucket, OrderAction, OrderEvent, OrderLimits, OrderReport, OrderTime,
        ReadingNumber, TargetOwnership, WantedState, next_fence,
        order_case::{OrderCase, OrderDecision},
        target_plan::TargetPlan,
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

/// Pause after a reading failed or an order was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Shortest pause between two readings of one engine.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// What became of the wish to send an order.
enum OrderStep {
    Sent(OrderAction),
    Rationed(Duration),
    FenceSpent,
}

/// Decides which orders one host sends to engines.
///
/// An order is sent only to a target that this host owns by a list of live hosts that is no older
/// than a lease, only after the engine was read, and only within a lease of the start of that
/// reading. It states the whole state that the sheet in force wants. If an engine has obeyed a
/// later sheet, nothing is sent to it. After a pause longer than a lease everything is read anew.
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
/// assert_eq!(planner.owned().count(), 0);
/// ```
#[derive(Debug)]
pub struct OrderPlanner {
    host: HostId,
    limits: OrderLimits,
    sheet: Option<Arc<FleetSheet>>,
    ownership: TargetOwnership,
    hosts_at: Option<Instant>,
    plans: BTreeMap<TargetId, TargetPlan>,
    bucket: LoadBucket,
    clock: HybridClock,
    readings: ReadingNumber,
}

impl OrderPlanner {
    /// Planner of a host that knows nothing yet.
    pub fn new(host: impl Into<HostId>, limits: OrderLimits, time: OrderTime) -> Self {
        Self {
            host: host.into(),
            limits,
            sheet: None,
            ownership: TargetOwnership::default(),
            hosts_at: None,
            plans: BTreeMap::new(),
            bucket: LoadBucket::new(limits.loads_per_second, time.now),
            clock: HybridClock::new(),
            readings: 0,
        }
    }

    /// Targets that this host owns, with the sheet version that each is settled in.
    pub fn owned(&self) -> impl Iterator<Item = (&TargetId, Option<u64>)> {
        self.plans
            .iter()
            .map(|(target, plan)| (target, plan.settled))
    }

    /// When to send the next tick at the latest; a list of hosts is due by then, too.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        let pulse = now + self.limits.lease / 3;
        let plans = self.plans.values();
        let next = plans.map(|plan| plan.next_wakeup(&self.limits)).min();
        next.map_or(pulse, |at| at.min(pulse))
    }

    /// Takes an event and says what to do.
    pub fn handle(&mut self, event: OrderEvent, time: OrderTime) -> Vec<OrderAction> {
        let now = time.now;
        self.expire_hosts(now);
        let mut actions = Vec::new();
        match event {
            OrderEvent::SheetInForce { sheet } => self.take_sheet(sheet, now),
            OrderEvent::HostsLive { hosts, asked_at } => self.take_hosts(hosts, asked_at, now),
            OrderEvent::EngineRead {
                target,
                reading,
                state,
            } => self.take_reading(&target, reading, &state, time, &mut actions),
            OrderEvent::OrderAccepted { target, reading } => {
                self.end_reading(&target, reading, self.limits.read_period, now);
            }
            OrderEvent::OrderRefused { target, reading } => {
                if self.end_reading(&target, reading, RETRY_PAUSE, now) {
                    let report = OrderReport::Refused;
                    actions.push(OrderAction::Report { target, report });
                }
            }
            OrderEvent::ReadingFailed { target, reading } => {
                self.end_reading(&target, reading, RETRY_PAUSE, now);
            }
            OrderEvent::Tick => {}
        }
        self.begin_readings(now, &mut actions);
        actions
    }

    fn take_sheet(&mut self, sheet: Arc<FleetSheet>, now: Instant) {
        let in_force = self.sheet.as_ref().map_or(0, |sheet| sheet.version());
        if sheet.version() > in_force {
            self.sheet = Some(sheet);
            self.claim_targets(now);
        }
    }

    fn take_hosts(&mut self, hosts: Vec<HostId>, asked_at: Instant, now: Instant) {
        if asked_at + self.limits.lease <= now {
            return;
        }
        let ownership = TargetOwnership::new(hosts);
        let is_new = self.hosts_at.is_none() || ownership != self.ownership;
        self.hosts_at = self.hosts_at.max(Some(asked_at));
        if is_new {
            self.ownership = ownership;
            self.bucket.share_among(self.ownership.host_count());
            self.claim_targets(now);
        }
    }

    /// Owns what this host should own by the sheet and the live hosts, and nothing else.
    fn claim_targets(&mut self, now: Instant) {
        let Some(sheet) = &self.sheet else {
            return;
        };
        if self.hosts_at.is_none() {
            return;
        }
        let mut plans = BTreeMap::new();
        for target in sheet.targets.keys() {
            let is_owned = self.ownership.owner_of(target) == Some(&self.host);
            if is_owned && WantedState::of(sheet, target).is_some() {
                let plan = self.plans.remove(target);
                plans.insert(target.clone(), plan.unwrap_or_else(|| TargetPlan::new(now)));
            }
        }
        self.plans = plans;
    }

    /// Owns nothing once the list of hosts is old, as after a pause of this host.
    fn expire_hosts(&mut self, now: Instant) {
        let lease = self.limits.lease;
        if self.hosts_at.is_some_and(|at| at + lease <= now) {
            self.hosts_at = None;
            self.plans.clear();
        }
    }

    fn begin_readings(&mut self, now: Instant, actions: &mut Vec<OrderAction>) {
        let Some(sheet) = &self.sheet else {
            return;
        };
        for (target, plan) in &mut self.plans {
            let Some(row) = sheet.targets.get(target) else {
                continue;
            };
            if plan.is_reading_due(&self.limits, now) {
                self.readings += 1;
                plan.begin(self.readings, now);
                actions.push(OrderAction::ReadEngine {
                    target: target.clone(),
                    address: row.address.clone(),
                    reading: self.readings,
                });
            }
        }
    }

    /// Ends a reading that is under way; `false` if it is another one.
    fn end_reading(
        &mut self,
        target: &str,
        reading: ReadingNumber,
        pause: Duration,
        now: Instant,
    ) -> bool {
        let Some(plan) = self.plans.get_mut(target) else {
            return false;
        };
        let is_current = plan.asked_at(reading, &self.limits, now).is_some();
        if is_current {
            plan.rest_until(now + pause);
        }
        is_current
    }

    fn take_reading(
        &mut self,
        target: &str,
        reading: ReadingNumber,
        state: &EngineState,
        time: OrderTime,
        actions: &mut Vec<OrderAction>,
    ) {
        let Some(case) = self.open_case(target, reading, time.now) else {
            return;
        };
        let period = self.limits.read_period;
        let pause = match case.weigh(state, time.now) {
            OrderDecision::Behind { version } => {
                actions.push(OrderAction::NewerSheetSeen { version });
                period
            }
            OrderDecision::Settled => {
                self.settle(&case, actions);
                period
            }
            OrderDecision::Loading => period,
            OrderDecision::Wait { pause } => pause.min(period),
            OrderDecision::Order { loads } => match self.send_order(&case, state, loads, time) {
                OrderStep::Sent(action) => {
                    actions.push(action);
                    return;
                }
                OrderStep::Rationed(wait) => wait.min(period),
                OrderStep::FenceSpent => {
                    actions.push(case.report(OrderReport::FenceSpent));
                    period
                }
            },
        };
        self.end_reading(target, reading, pause.max(PAUSE_MIN), time.now);
    }

    /// What a reading is weighed against; `None` if it came too late or is another one.
    fn open_case(&self, target: &str, reading: ReadingNumber, now: Instant) -> Option<OrderCase> {
        let plan = self.plans.get(target)?;
        let asked_at = plan.asked_at(reading, &self.limits, now)?;
        let sheet = self.sheet.as_ref()?;
        let row = sheet.targets.get(target)?;
        let version = sheet.version();
        Some(OrderCase {
            target: target.to_string(),
            address: row.address.clone(),
            reading,
            version,
            wanted: WantedState::of(sheet, target)?,
            may_order_at: plan.may_order_at(version, row.checks_orders, &self.limits),
            expires_at: asked_at + self.limits.lease,
        })
    }

    fn send_order(
        &mut self,
        case: &OrderCase,
        state: &EngineState,
        loads: usize,
        time: OrderTime,
    ) -> OrderStep {
        let Some(fence) = next_fence(state.fence, self.clock.now(time.wall_us)) else {
            return OrderStep::FenceSpent;
        };
        if let Err(wait) = self.bucket.take(loads, time.now) {
            return OrderStep::Rationed(wait);
        }
        if let Some(plan) = self.plans.get_mut(&case.target) {
            plan.ordered(case.version, time.now);
        }
        OrderStep::Sent(case.send(fence))
    }

    fn settle(&mut self, case: &OrderCase, actions: &mut Vec<OrderAction>) {
        let version = case.version;
        if let Some(plan) = self.plans.get_mut(&case.target)
            && plan.settled.replace(version) != Some(version)
        {
            actions.push(case.report(OrderReport::Settled { version }));
        }
    }
}
