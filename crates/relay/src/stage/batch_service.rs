use {
    crate::{
        shared::RelayCore,
        stage::{
            PoolWait, owner_link::OwnerLink, pool_wait::urgency_hash, shard_owner::is_owner,
            shard_state::ShardState,
        },
    },
    board::PoolLoad,
    piece::{BatchAction, BatchScheduler, MachinePace, PoolShards},
    plan::{PieceSpec, ServiceId, TargetRow},
    rand::Rng,
    route::{NoticeStanding, id_hash},
    slog::debug,
    std::{
        cell::RefCell,
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
    wire::FrameSeal,
};

/// Longest sleep of the loop that carries out the schedulers' actions.
const MAX_IDLE_SLEEP: Duration = Duration::from_secs(1);
/// Difference from the wait of the least urgent work, in milliseconds, from which on that of more
/// urgent work is told.
const MIN_WAIT_GAIN_MS: u32 = 30;
/// Interval of checks whether this process has heard of the other hosts.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Runs stage jobs. Jobs for shards that this entry owns are batched into calls to targets; jobs
/// for other shards are submitted to the entry that owns the shard.
pub struct BatchService {
    /// Schedulers of the shards, by name of the shard.
    pub(super) shard_states: RefCell<HashMap<ServiceId, ShardState>>,
    /// Connections to owners of shards, by their peer address.
    pub(super) links: RefCell<HashMap<SocketAddr, Rc<OwnerLink>>>,
    /// Hosts to which a connection was lost, with the time of the loss.
    pub(super) lost_hosts: RefCell<HashMap<String, Instant>>,
    /// Addresses of targets, by id.
    pub(super) addresses: RefCell<HashMap<String, SocketAddr>>,
    /// Shards of each pool.
    pub(super) pool_shards: RefCell<HashMap<ServiceId, PoolShards>>,
    /// Wakes the loop that carries out the schedulers' actions.
    pub(super) wake: Notify,
    /// Authenticates the messages between entries.
    pub seal: FrameSeal,
}

impl BatchService {
    /// Creates a service without targets; `key` is the key that all entries share.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            shard_states: RefCell::default(),
            links: RefCell::default(),
            lost_hosts: RefCell::default(),
            addresses: RefCell::default(),
            pool_shards: RefCell::default(),
            wake: Notify::new(),
            seal: FrameSeal::new(key),
        }
    }

    /// Replaces the targets of a pool and divides them into shards again.
    pub fn set_targets(
        &self,
        pool: &str,
        spec: PieceSpec,
        rows: Vec<(&String, &TargetRow)>,
        now: Instant,
    ) {
        let mut addresses = self.addresses.borrow_mut();
        for (id, row) in &rows {
            addresses.insert((*id).clone(), row.address);
        }
        let shards = PoolShards::new(pool, &rows);
        let mut states = self.shard_states.borrow_mut();
        let names: Vec<&String> = shards.shards().iter().map(|shard| &shard.name).collect();
        let removed = states
            .iter_mut()
            .filter(|(name, state)| state.pool == pool && !names.contains(name));
        for (_, state) in removed {
            state.close(spec, now);
        }
        for shard in shards.shards() {
            let state = states
                .entry(shard.name.clone())
                .or_insert_with(|| ShardState::new(pool, spec));
            let shard_rows = rows.iter().filter(|(id, _)| shard.targets.contains(*id));
            state.scheduler.set_targets(shard_rows.copied(), spec, now);
        }
        self.pool_shards
            .borrow_mut()
            .insert(pool.to_string(), shards);
        self.wake.notify_one();
    }

    /// Applies what a target said of itself to the shard that it belongs to.
    pub fn apply_notice(&self, target: &str, standing: NoticeStanding) {
        for state in self.shard_states.borrow_mut().values_mut() {
            state
                .scheduler
                .apply_notice(target, standing.leaving, standing.paused_until);
        }
        self.wake.notify_one();
    }

    /// Records what a target said of its machine.
    pub fn set_pace(&self, target: &str, pace: MachinePace) {
        for state in self.shard_states.borrow_mut().values_mut() {
            state.scheduler.set_pace(target, pace);
        }
    }

    /// Sends a target nothing until this time, or as usual again if there is none.
    pub fn hold_target(&self, target: &str, until: Option<Instant>) {
        for state in self.shard_states.borrow_mut().values_mut() {
            state.scheduler.hold_target(target, until);
        }
        self.wake.notify_one();
    }

    /// Closes the pools for which `is_wanted` returns false.
    pub fn retain_pools(&self, is_wanted: impl Fn(&str) -> bool, now: Instant) {
        self.pool_shards
            .borrow_mut()
            .retain(|pool, _| is_wanted(pool));
        for state in self.shard_states.borrow_mut().values_mut() {
            if !is_wanted(&state.pool) {
                state.close(state.scheduler.spec(), now);
            }
        }
        self.wake.notify_one();
    }

    /// Returns the name of the shard that should make pieces: one with targets in the preferred
    /// data centre, if one is given, and among those the one with the shortest wait.
    ///
    /// `None` if the pool is unknown or has no suitable shard.
    pub fn choose_shard(
        &self,
        pool: &str,
        centre: Option<&str>,
        wait: impl Fn(&str) -> Duration,
        random: &mut impl Rng,
    ) -> Option<String> {
        let shards = self.pool_shards.borrow();
        let shards = shards.get(pool)?;
        let shard = shards.choose_shard(centre, wait, random)?;
        Some(shard.name.clone())
    }

    /// Returns the number of targets of a pool; 0 if the pool is unknown.
    pub fn target_count(&self, pool: &str) -> u32 {
        let shards = self.pool_shards.borrow();
        let counts = shards
            .get(pool)
            .into_iter()
            .flat_map(|shards| shards.shards().iter().map(|shard| shard.targets.len()));
        u32::try_from(counts.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Returns the waits of the pool's shard that has the shortest timely wait; zero if the pool
    /// is unknown.
    pub fn min_wait(&self, pool: &str, wait: impl Fn(&str) -> PoolWait) -> PoolWait {
        let shards = self.pool_shards.borrow();
        let waits = shards
            .get(pool)
            .into_iter()
            .flat_map(|shards| shards.shards().iter().map(|shard| wait(&shard.name)));
        waits.min_by_key(|wait| wait.timely).unwrap_or_default()
    }

    /// Returns the expected waits of new work of this urgency at a shard of this entry; zero while it
    /// has no jobs.
    pub fn own_wait(&self, shard: &str, urgency: u8, now: Instant) -> PoolWait {
        let states = self.shard_states.borrow();
        let state = states.get(shard);
        let busy = state.filter(|state| !state.waiters.is_empty());
        busy.map_or_else(PoolWait::default, |state| PoolWait {
            timely: state.scheduler.timely_wait_of(urgency, now),
            queue_end: state.scheduler.queue_end_wait_of(urgency, now),
        })
    }

    /// Returns the expected waits of new work at the shards for which this entry has jobs: of the
    /// least urgent work, and of that of each given urgency.
    pub fn own_pool_loads(&self, urgencies: &BTreeSet<u8>, now: Instant) -> Vec<PoolLoad> {
        let states = self.shard_states.borrow();
        let busy = states.iter().filter(|(_, state)| !state.waiters.is_empty());
        busy.flat_map(|(shard, state)| shard_loads(shard, &state.scheduler, urgencies, now))
            .collect()
    }

    /// Carries out the actions of the schedulers for as long as the process runs.
    pub async fn run(core: Rc<RelayCore>) {
        loop {
            let now = Instant::now();
            let wake_at = core.batch_service.run_actions(&core, now);
            let sleep = actix_rt::time::sleep_until(wake_at.into());
            tokio::select! {
                () = sleep => {}
                () = core.batch_service.wake.notified() => {}
            }
        }
    }

    /// Carries out the actions that are due and returns the time at which to look for more.
    fn run_actions(&self, core: &Rc<RelayCore>, now: Instant) -> Instant {
        let mut wake_at = now + MAX_IDLE_SLEEP;
        let (is_settled, own, candidates) = {
            let hosts = core.hosts.borrow();
            let candidates = hosts.owner_candidates(now);
            let candidates: BTreeSet<String> = candidates.into_iter().map(String::from).collect();
            let own = hosts.own_record();
            (own.settled, own.host.clone(), candidates)
        };
        let mut states = self.shard_states.borrow_mut();
        for (shard, state) in states.iter_mut() {
            state.set_owner(is_owner(&candidates, &own, shard), now);
            if !is_settled {
                // Another entry may own the shard; the shard's jobs wait until that is known.
                wake_at = wake_at.min(now + SETTLE_CHECK_INTERVAL);
                continue;
            }
            for action in state.scheduler.take_actions(now) {
                match action {
                    BatchAction::Call { call, target, work } => {
                        self.start_call(core, shard, call, target, work);
                    }
                    BatchAction::Free { target, results } => {
                        self.start_free(core, shard, target, results);
                    }
                    BatchAction::InputsRead { job } => {
                        if let Some(waiter) = state.waiters.get(&job) {
                            (waiter.on_inputs_read)();
                        }
                    }
                    BatchAction::Made { job, results } => {
                        state.report_outcome(job, Ok(results));
                    }
                    BatchAction::Failed { job, outcome } => {
                        debug!(core.log, "pieces failed"; "pool" => shard,
                            "reason" => ?outcome);
                        state.report_outcome(job, Err(outcome));
                    }
                }
            }
            wake_at = state
                .scheduler
                .next_wakeup(now)
                .map_or(wake_at, |at| at.min(wake_at));
        }
        wake_at.max(now + Duration::from_millis(1))
    }
}

fn shard_loads(
    shard: &str,
    scheduler: &BatchScheduler,
    urgencies: &BTreeSet<u8>,
    now: Instant,
) -> Vec<PoolLoad> {
    let least_urgent = PoolLoad {
        pool: id_hash(shard),
        wait_ms: millis(scheduler.timely_wait(now)),
        last_wait_ms: millis(scheduler.queue_end_wait(now)),
    };
    let by_urgency = urgencies.iter().map(|urgency| PoolLoad {
        pool: urgency_hash(shard, *urgency),
        wait_ms: millis(scheduler.timely_wait_of(*urgency, now)),
        last_wait_ms: millis(scheduler.queue_end_wait_of(*urgency, now)),
    });
    // Messages are short of room, so what the wait of the least urgent work tells is left out.
    let is_news = |load: &PoolLoad| {
        let timely_gain = least_urgent.wait_ms.saturating_sub(load.wait_ms);
        let late_gain = least_urgent.last_wait_ms.saturating_sub(load.last_wait_ms);
        timely_gain.max(late_gain) >= MIN_WAIT_GAIN_MS
    };
    let by_urgency = by_urgency.filter(is_news);
    std::iter::once(least_urgent).chain(by_urgency).collect()
}

/// Returns the duration in milliseconds, at most `u32::MAX`.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
