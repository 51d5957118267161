use {
    crate::{
        data::call_slot::{CallSlot, ReleaseQueue, SlotRefusal, SlotRelease},
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

/// Delivers the slot to a waiting call, or the reason why it gets none.
pub type SlotSender = oneshot::Sender<Result<CallSlot, SlotRefusal>>;

/// The parameters of a request for a slot of a pool, on behalf of one call.
pub struct SlotQuery<'a> {
    pub pool: &'a str,
    pub customer: &'a CustomerId,
    /// Weight of the customer relative to the others.
    pub weight: u32,
    pub priority: RequestPriority,
    /// Time by which the call must be answered.
    pub deadline: Instant,
    /// Expected service time of the call.
    pub expected_time: Duration,
}

/// How a call to a target ended.
#[derive(Debug, Clone, Copy)]
pub struct CallResult {
    /// Time that the call took. The time of an engine's call, which depends on the number of
    /// tokens, is scaled to a fixed nominal number.
    pub elapsed: Duration,
    pub outcome: CallOutcome,
    /// Load that the target reported, as a share of its capacity.
    pub load: Option<f64>,
}

/// State of one pool on this entry.
struct PoolState {
    targets: TargetPool,
    limit: ConcurrencyLimit,
    queue: FairQueue<SlotSender>,
}

/// Queues calls for the concurrency slots of each pool of the sheet in force, and chooses the
/// targets of the calls.
pub struct PoolScheduler {
    centre: CentreId,
    seed: u64,
    /// Largest number of calls that may wait for each pool.
    queue_limit: usize,
    view: Arc<FleetView>,
    pools: BTreeMap<PoolId, PoolState>,
    releases: ReleaseQueue,
}

impl PoolScheduler {
    pub fn new(centre: impl Into<CentreId>, seed: u64, queue_limit: usize) -> Self {
        Self {
            centre: centre.into(),
            seed,
            queue_limit,
            view: Arc::default(),
            pools: BTreeMap::new(),
            releases: ReleaseQueue::default(),
        }
    }

    /// Returns the queue of released slots. The task that serves the call queues waits on it.
    pub fn releases(&self) -> ReleaseQueue {
        self.releases.clone()
    }

    /// Applies a snapshot of the fleet; returns false if it is the one already applied.
    pub fn update_view(&mut self, view: &Arc<FleetView>, now: Instant) -> bool {
        if Arc::ptr_eq(&self.view, view) {
            return false;
        }
        self.view = Arc::clone(view);
        if let Some(sheet) = view.sheet.clone() {
            self.apply_sheet(&sheet, view, now);
        }
        true
    }

    fn apply_sheet(&mut self, sheet: &FleetSheet, view: &FleetView, now: Instant) {
        self.pools.retain(|pool, _| sheet.pools.contains_key(pool));
        for pool in sheet.pools.keys() {
            let specs = target_specs(sheet, view, pool);
            let range = limit_range(&specs, view.entries.len());
            if !self.pools.contains_key(pool) {
                let state = self.create_pool(sheet, pool, range, now);
                self.pools.insert(pool.clone(), state);
            }
            if let Some(state) = self.pools.get_mut(pool) {
                state.targets.set_targets(specs, now);
                state.limit.set_range(range);
            }
        }
    }

    /// Queues a call for a slot; the receiver gets the slot or the refusal.
    pub fn request_slot(
        &mut self,
        query: SlotQuery<'_>,
        now: Instant,
    ) -> oneshot::Receiver<Result<CallSlot, SlotRefusal>> {
        let (sender, receiver) = oneshot::channel();
        let Some(state) = self.pools.get_mut(query.pool) else {
            let _ = sender.send(Err(SlotRefusal::new(
                FailureReason::NoTarget,
                Duration::ZERO,
            )));
            return receiver;
        };
        let call = WaitingCall {
            customer: query.customer.clone(),
            weight: query.weight,
            priority: query.priority,
            deadline: query.deadline,
            cost: query.expected_time.as_secs_f64(),
            item: sender,
        };
        match state.queue.push(call, now) {
            Ok(queued) => {
                let refusal = SlotRefusal::new(FailureReason::ShareExceeded, query.expected_time);
                refuse_all(queued.evicted, refusal);
            }
            Err(refused) => {
                let refusal = SlotRefusal::new(refused.reason, refused.retry_after);
                refuse_all(vec![refused.item], refusal);
            }
        }
        self.grant_slots(query.pool, now);
        receiver
    }

    /// Processes the released slots and grants the free ones to waiting calls.
    pub fn serve_queues(&mut self, now: Instant) {
        let releases = self.releases.take_all();
        for release in releases {
            self.release_slot(&release, now);
        }
        let waiting = self
            .pools
            .iter()
            .filter(|(_, state)| !state.queue.is_empty());
        let waiting: Vec<PoolId> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in waiting {
            self.grant_slots(&pool, now);
        }
    }

    /// Returns true if any call waits for a slot.
    pub fn has_waiting(&self) -> bool {
        self.pools.values().any(|state| !state.queue.is_empty())
    }

    /// Estimates the time that a further call of the customer would wait for its slot; zero for an
    /// unknown pool.
    pub fn wait_estimate(&self, query: &SlotQuery<'_>) -> Duration {
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
            query.expected_time.as_secs_f64(),
        )
    }

    /// Chooses the target of the next call of a request; sets `local_centre` of the query to the
    /// data centre of this entry. `None` if no target is available.
    pub fn pick(&mut self, pool: &str, query: PickQuery<'_>, now: Instant) -> Option<Pick> {
        let state = self.pools.get_mut(pool)?;
        let query = PickQuery {
            local_centre: &self.centre,
            ..query
        };
        state.targets.pick(query, now)
    }

    /// Returns the targets of the pool that belong to the partitions of other entries. Each entry
    /// runs requests that are suspected of killing targets only on its own partition of a pool.
    /// Entries with the same view of the fleet and of the dead targets compute the same
    /// partitions; with fewer targets than entries, some entries share a partition.
    pub fn targets_of_other_entries(
        &self,
        pool: &str,
        own_host: &str,
        is_dead: impl Fn(&TargetId) -> bool,
    ) -> Vec<TargetId> {
        let Some(sheet) = &self.view.sheet else {
            return Vec::new();
        };
        let pool_targets = sheet.targets.values().filter(|target| target.pool == pool);
        let names = pool_targets.map(|target| &target.name);
        let targets: BTreeSet<&TargetId> = names.filter(|name| !is_dead(name)).collect();
        let hosts = self.view.entries.iter().map(|entry| entry.host.as_str());
        let hosts: BTreeSet<&str> = hosts.chain([own_host]).collect();
        let partition_count = hosts.len().min(targets.len()).max(1);
        let own_partition = hosts
            .iter()
            .position(|other| *other == own_host)
            .unwrap_or(0)
            % partition_count;
        let others = targets.into_iter().enumerate();
        let others = others.filter(|(position, _)| position % partition_count != own_partition);
        others.map(|(_, target)| target.clone()).collect()
    }

    /// Records that a call was sent to a target.
    pub fn record_call_start(&mut self, pool: &str, target: &str, now: Instant) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.targets.record_start(target, now);
        }
    }

    /// Records how a call to a target ended.
    pub fn record_call_end(&mut self, pool: &str, target: &str, result: CallResult, now: Instant) {
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

    /// Marks a target as leaving, as announced by the target itself.
    pub fn mark_leaving(&mut self, pool: &str, target: &str, now: Instant) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.targets.mark_leaving(target, now);
        }
    }

    fn create_pool(
        &self,
        sheet: &FleetSheet,
        pool: &str,
        range: LimitRange,
        now: Instant,
    ) -> PoolState {
        let settings = PoolSettings {
            expected: mean_expected_time(sheet, pool),
            ..Default::default()
        };
        let queue = QueueSettings {
            places: self.queue_limit,
            ..Default::default()
        };
        PoolState {
            targets: TargetPool::new(settings, self.seed),
            limit: ConcurrencyLimit::new(range, now),
            queue: FairQueue::new(queue),
        }
    }

    fn release_slot(&mut self, release: &SlotRelease, now: Instant) {
        if let Some(state) = self.pools.get_mut(&release.pool) {
            if let Some(load) = release.load {
                state.limit.record_load(load);
            }
            state.limit.release(release.outcome, release.elapsed, now);
        }
    }

    fn grant_slots(&mut self, pool: &str, now: Instant) {
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        let late = SlotRefusal::new(FailureReason::DeadlineTooShort, Duration::ZERO);
        refuse_all(state.queue.expire(now), late);
        state.queue.set_capacity(f64::from(state.limit.limit()));
        while !state.queue.is_empty() && state.limit.try_acquire() {
            let slot = CallSlot::new(pool, self.releases.clone());
            match state.queue.pop(now) {
                // If the receiver is gone, this drops the slot, which releases it.
                Some(next) => drop(next.call.item.send(Ok(slot))),
                None => {
                    slot.discard();
                    state
                        .limit
                        .release(ReleaseOutcome::Ignored, Duration::ZERO, now);
                    return;
                }
            }
        }
    }
}

fn refuse_all(senders: Vec<SlotSender>, refusal: SlotRefusal) {
    for sender in senders {
        let _ = sender.send(Err(refusal));
    }
}

fn target_specs(sheet: &FleetSheet, view: &FleetView, pool: &str) -> Vec<TargetSpec> {
    let pool_targets = sheet.targets.values().filter(|target| target.pool == pool);
    let specs = pool_targets.map(|target| TargetSpec {
        target: target.name.clone(),
        address: target.address.clone(),
        data_centre: target.data_centre.clone(),
        capacity: target.capacity,
        leaving: target.leaving || view.leaving_targets.contains(&target.name),
    });
    specs.collect()
}

/// Returns the bounds of the entry's concurrency limit: from an equal share for each entry up to
/// the whole capacity of the targets. The adaptive limit finds out how much of
/// it the other entries leave unused.
fn limit_range(specs: &[TargetSpec], entries: usize) -> LimitRange {
    let usable = specs.iter().filter(|spec| !spec.leaving);
    let max = usable.map(|spec| spec.capacity).sum::<u32>().max(1);
    let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    LimitRange {
        min: max.div_ceil(entries),
        max,
    }
}

/// Returns the mean expected time of the pool's stages in the sheet.
fn mean_expected_time(sheet: &FleetSheet, pool: &str) -> Duration {
    let stages = sheet
        .pipelines
        .values()
        .flat_map(|pipeline| &pipeline.stage);
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
