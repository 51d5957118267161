use {
    crate::{
        data::call_place::{CallPlace, PlaceEnd, PlaceReturn, ReturnBox},
        shared::FleetView,
    },
    base::{CentreId, CustomerId, FailureReason, PoolId, RequestPriority, TargetId},
    limit::{ConcurrencyLimit, FairQueue, LimitRange, QueueSettings, ReleaseOutcome, WaitingCall},
    route::{CallOutcome, Pick, PickQuery, PoolSettings, TargetPool, TargetSpec},
    sheet::FleetSheet,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Gets the place of a call, or the reason why there is none.
pub type PlaceSender = oneshot::Sender<Result<CallPlace, PlaceEnd>>;

/// A call that asks for a place at a pool.
pub struct PlaceQuery<'a> {
    pub pool: &'a str,
    pub customer: &'a CustomerId,
    pub weight: u32,
    pub priority: RequestPriority,
    pub deadline: Instant,
    pub cost: Duration,
}

/// How a call to a target ended.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    pub elapsed: Duration,
    pub outcome: CallOutcome,
    pub load: Option<f64>,
}

/// What one entry knows of one pool.
struct PoolState {
    targets: TargetPool,
    limit: ConcurrencyLimit,
    queue: FairQueue<PlaceSender>,
}

/// The pools of the sheet in force: who waits for a place, and which target a call goes to.
pub struct PoolDesk {
    centre: CentreId,
    seed: u64,
    places: usize,
    view: Arc<FleetView>,
    pools: BTreeMap<PoolId, PoolState>,
    returns: ReturnBox,
}

impl PoolDesk {
    pub fn new(centre: impl Into<CentreId>, seed: u64, places: usize) -> Self {
        Self {
            centre: centre.into(),
            seed,
            places,
            view: Arc::default(),
            pools: BTreeMap::new(),
            returns: ReturnBox::default(),
        }
    }

    /// Places that calls gave back; to be waited on by the task that runs the queues.
    pub fn returns(&self) -> ReturnBox {
        self.returns.clone()
    }

    /// Takes over a view of the fleet; false if it is the same as before.
    pub fn sync(&mut self, view: &Arc<FleetView>, now: Instant) -> bool {
        if Arc::ptr_eq(&self.view, view) {
            return false;
        }
        self.view = Arc::clone(view);
        if let Some(sheet) = view.sheet.clone() {
            self.take_sheet(&sheet, view, now);
        }
        true
    }

    fn take_sheet(&mut self, sheet: &FleetSheet, view: &FleetView, now: Instant) {
        self.pools.retain(|pool, _| sheet.pools.contains_key(pool));
        for pool in sheet.pools.keys() {
            let specs = target_specs(sheet, view, pool);
            let range = limit_range(&specs, view.hosts.len());
            if !self.pools.contains_key(pool) {
                let state = self.open_pool(sheet, pool, range, now);
                self.pools.insert(pool.clone(), state);
            }
            if let Some(state) = self.pools.get_mut(pool) {
                state.targets.set_targets(specs, now);
                state.limit.set_range(range);
            }
        }
    }

    /// Asks for a place; the receiver gets it when it is the call's turn.
    pub fn request(
        &mut self,
        query: PlaceQuery<'_>,
        now: Instant,
    ) -> oneshot::Receiver<Result<CallPlace, PlaceEnd>> {
        let (sender, receiver) = oneshot::channel();
        let Some(state) = self.pools.get_mut(query.pool) else {
            let _ = sender.send(Err(PlaceEnd::new(FailureReason::NoTarget, Duration::ZERO)));
            return receiver;
        };
        let call = WaitingCall {
            customer: query.customer.clone(),
            weight: query.weight,
            priority: query.priority,
            deadline: query.deadline,
            cost: query.cost.as_secs_f64(),
            item: sender,
        };
        match state.queue.push(call, now) {
            Ok(queued) => {
                let end = PlaceEnd::new(FailureReason::ShareExceeded, query.cost);
                send_all(queued.evicted, end);
            }
            Err(refusal) => {
                let end = PlaceEnd::new(refusal.reason, refusal.retry_after);
                send_all(vec![refusal.item], end);
            }
        }
        self.pump(query.pool, now);
        receiver
    }

    /// Takes in the places that calls gave back, and hands out those that are free.
    pub fn run(&mut self, now: Instant) {
        let returns = self.returns.take();
        for back in returns {
            self.take_back(&back, now);
        }
        let waiting = self
            .pools
            .iter()
            .filter(|(_, state)| !state.queue.is_empty());
        let waiting: Vec<PoolId> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in waiting {
            self.pump(&pool, now);
        }
    }

    /// True if any call waits for a place.
    pub fn has_waiting(&self) -> bool {
        self.pools.values().any(|state| !state.queue.is_empty())
    }

    /// Time that a further call of the customer would wait for its place.
    pub fn wait_estimate(&self, query: &PlaceQuery<'_>) -> Duration {
        let Some(state) = self.pools.get(query.pool) else {
            return Duration::ZERO;
        };
        if state.queue.is_empty() && state.limit.in_flight() < state.limit.limit() {
            return Duration::ZERO;
        }
        state.queue.wait_estimate(
            query.customer,
            query.weight,
            query.priority,
            query.cost.as_secs_f64(),
        )
    }

    /// Target for the next call of a request, as the query asks but for this entry's data centre.
    pub fn pick(&mut self, pool: &str, query: PickQuery<'_>, now: Instant) -> Option<Pick> {
        let state = self.pools.get_mut(pool)?;
        let query = PickQuery {
            local_centre: &self.centre,
            ..query
        };
        state.targets.pick(query, now)
    }

    /// Targets of the pool that lie in other entries' parts of it. Entries with the same view of
    /// the fleet and of the targets that died share the pool out alike; with fewer targets than
    /// entries some share a part.
    pub fn parts_of_others(
        &self,
        pool: &str,
        host: &str,
        is_dead: impl Fn(&TargetId) -> bool,
    ) -> Vec<TargetId> {
        let Some(sheet) = &self.view.sheet else {
            return Vec::new();
        };
        let rows = sheet.targets.values().filter(|row| row.pool == pool);
        let names = rows.map(|row| &row.name);
        let targets: BTreeSet<&TargetId> = names.filter(|name| !is_dead(name)).collect();
        let hosts = self.view.hosts.iter().map(|row| row.host.as_str());
        let hosts: BTreeSet<&str> = hosts.chain([host]).collect();
        let parts = hosts.len().min(targets.len()).max(1);
        let own = hosts.iter().position(|other| *other == host).unwrap_or(0) % parts;
        let others = targets.into_iter().enumerate();
        let others = others.filter(|(place, _)| place % parts != own);
        others.map(|(_, target)| target.clone()).collect()
    }

    /// Notes that a call goes to a target.
    pub fn started(&mut self, pool: &str, target: &str, now: Instant) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.targets.record_start(target, now);
        }
    }

    /// Notes how a call to a target ended.
    pub fn answered(&mut self, pool: &str, target: &str, result: CallResult, now: Instant) {
        if let Some(state) = self.pools.get_mut(pool) {
            let CallResult {
                elapsed,
                outcome,
                load,
            } = result;
            state
                .targets
                .record_end(target, elapsed, outcome, load, now);
        }
    }

    /// Notes that a target said itself that it is leaving.
    pub fn mark_leaving(&mut self, pool: &str, target: &str, now: Instant) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.targets.mark_leaving(target, now);
        }
    }

    fn open_pool(
        &self,
        sheet: &FleetSheet,
        pool: &str,
        range: LimitRange,
        now: Instant,
    ) -> PoolState {
        let settings = PoolSettings {
            expected: nominal_time(sheet, pool),
            ..Default::default()
        };
        let queue = QueueSettings {
            places: self.places,
            ..Default::default()
        };
        PoolState {
            targets: TargetPool::new(settings, self.seed),
            limit: ConcurrencyLimit::new(range, now),
            queue: FairQueue::new(queue),
        }
    }

    fn take_back(&mut self, back: &PlaceReturn, now: Instant) {
        if let Some(state) = self.pools.get_mut(&back.pool) {
            if let Some(load) = back.load {
                state.limit.record_load(load);
            }
            state.limit.release(back.outcome, back.elapsed, now);
        }
    }

    fn pump(&mut self, pool: &str, now: Instant) {
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        let late = PlaceEnd::new(FailureReason::DeadlineTooShort, Duration::ZERO);
        send_all(state.queue.expire(now), late);
        state.queue.set_capacity(f64::from(state.limit.limit()));
        while !state.queue.is_empty() && state.limit.try_acquire() {
            let place = CallPlace::new(pool, self.returns.clone());
            match state.queue.pop(now) {
                // A receiver that is gone drops the place, which gives it back.
                Some(next) => drop(next.call.item.send(Ok(place))),
                None => {
                    place.forget();
                    state
                        .limit
                        .release(ReleaseOutcome::Ignored, Duration::ZERO, now);
                    return;
                }
            }
        }
    }
}

fn send_all(senders: Vec<PlaceSender>, end: PlaceEnd) {
    for sender in senders {
        let _ = sender.send(Err(end));
    }
}

fn target_specs(sheet: &FleetSheet, view: &FleetView, pool: &str) -> Vec<TargetSpec> {
    let rows = sheet.targets.values().filter(|row| row.pool == pool);
    let specs = rows.map(|row| TargetSpec {
        target: row.name.clone(),
        address: row.address.clone(),
        data_centre: row.data_centre.clone(),
        capacity: row.capacity,
        leaving: row.leaving || view.leaving_targets.contains(&row.name),
    });
    specs.collect()
}

/// An entry may use all that the targets can take; the limit finds out what others leave it,
/// but never falls below its equal share.
fn limit_range(specs: &[TargetSpec], entries: usize) -> LimitRange {
    let usable = specs.iter().filter(|spec| !spec.leaving);
    let max = usable.map(|spec| spec.capacity).sum::<u32>().max(1);
    let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    LimitRange {
        min: max.div_ceil(entries),
        max,
    }
}

/// Mean of what the sheet expects of the pool's stages.
fn nominal_time(sheet: &FleetSheet, pool: &str) -> Duration {
    let stages = sheet.pipelines.values().flat_map(|row| &row.stage);
    let times: Vec<Duration> = stages
        .filter(|stage| stage.pool == pool)
        .map(|stage| stage.expected)
        .collect();
    let count = u32::try_from(times.len()).unwrap_or(u32::MAX);
    match count {
        0 => PoolSettings::default().expected,
        _ => times.iter().sum::<Duration>() / count,
    }
}
