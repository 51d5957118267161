use {
    crate::{
        shared::RelayCore,
        stage::{
            GatherFrame, PoolWait,
            gather_link::GatherLink,
            gather_owner::is_owner,
            open_desk::{GatherEnd, OpenDesk, OrderWaiter, ReadHook},
            shard_wait,
        },
    },
    board::PoolLoad,
    piece::{BatchAction, JobId, PieceOutcome, PoolShards, StageJob, StageResult},
    plan::{PieceSpec, ServiceId, TargetRow},
    rand::Rng,
    route::id_hash,
    slog::debug,
    std::{
        cell::RefCell,
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, oneshot},
    wire::FrameSeal,
};

/// Longest sleep of the loop that starts calls.
const IDLE_SLEEP: Duration = Duration::from_secs(1);
/// Orders to other entries that may fail before this one gathers for itself.
const OWNER_TRIES: u32 = 3;
/// Pause before the next look whether this process has heard of the others.
const SETTLE_PAUSE: Duration = Duration::from_millis(25);
/// Pause before an order that was given back is given to another entry.
const MOVE_PAUSE: Duration = Duration::from_millis(30);

/// Pieces for requests: gathered here for the pools that this entry owns, asked for at the
/// entry that owns the pool otherwise.
pub struct GatherService {
    pub(super) desks: RefCell<HashMap<ServiceId, OpenDesk>>,
    pub(super) links: RefCell<HashMap<SocketAddr, Rc<GatherLink>>>,
    pub(super) addresses: RefCell<HashMap<String, SocketAddr>>,
    pub(super) shards: RefCell<HashMap<ServiceId, PoolShards>>,
    pub(super) wake: Notify,
    pub(super) seal: FrameSeal,
}

impl GatherService {
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            desks: RefCell::default(),
            links: RefCell::default(),
            addresses: RefCell::default(),
            shards: RefCell::default(),
            wake: Notify::new(),
            seal: FrameSeal::new(key),
        }
    }

    /// Takes over the targets of a pool.
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
        let mut desks = self.desks.borrow_mut();
        let parts: Vec<&String> = shards.shards().iter().map(|shard| &shard.name).collect();
        let gone = desks
            .iter_mut()
            .filter(|(name, open)| open.pool == pool && !parts.contains(name));
        for (_, open) in gone {
            open.close(spec, now);
        }
        for shard in shards.shards() {
            let open = desks
                .entry(shard.name.clone())
                .or_insert_with(|| OpenDesk::new(pool, spec));
            let members = rows.iter().filter(|(id, _)| shard.targets.contains(*id));
            open.desk.set_targets(members.copied(), spec, now);
        }
        self.shards.borrow_mut().insert(pool.to_string(), shards);
        self.wake.notify_one();
    }

    /// Closes the pools that the configuration no longer has.
    pub fn retain_pools(&self, wanted: impl Fn(&str) -> bool, now: Instant) {
        self.shards.borrow_mut().retain(|pool, _| wanted(pool));
        for open in self.desks.borrow_mut().values_mut() {
            if !wanted(&open.pool) {
                open.close(open.desk.spec(), now);
            }
        }
        self.wake.notify_one();
    }

    /// Part of the pool that should make pieces which are wanted in a data centre: one with
    /// targets there, and the one that waits least among those.
    pub fn choose_shard(
        &self,
        pool: &str,
        centre: Option<&str>,
        wait: impl Fn(&str) -> Duration,
        random: &mut impl Rng,
    ) -> Option<String> {
        let shards = self.shards.borrow();
        let shards = shards.get(pool)?;
        let shard = shards.choose_shard(centre, wait, random)?;
        Some(shard.name.clone())
    }

    /// Least wait of the pool's parts.
    pub fn least_wait(&self, pool: &str, wait: impl Fn(&str) -> PoolWait) -> PoolWait {
        let shards = self.shards.borrow();
        let waits = shards
            .get(pool)
            .into_iter()
            .flat_map(|shards| shards.shards().iter().map(|shard| wait(&shard.name)));
        waits.min_by_key(|wait| wait.timely).unwrap_or_default()
    }

    /// Time for which new pieces wait at the pools that have work here.
    pub fn pool_waits(&self, now: Instant) -> Vec<PoolLoad> {
        let desks = self.desks.borrow();
        let busy = desks.iter().filter(|(_, open)| !open.waiting.is_empty());
        busy.map(|(pool, open)| PoolLoad {
            pool: id_hash(pool),
            wait_ms: millis(open.desk.timely_wait(now)),
            last_wait_ms: millis(open.desk.queue_end_wait(now)),
        })
        .collect()
    }

    /// Has pieces made, wherever the pool is gathered for.
    pub async fn gather(
        &self,
        core: &RelayCore,
        pool: &str,
        order: StageJob,
        on_read: ReadHook,
    ) -> GatherEnd {
        let started = Instant::now();
        for _ in 0..OWNER_TRIES {
            let now = Instant::now();
            let centre = order.data_centre.as_deref();
            let wait = |shard: &str| shard_wait(core, shard, now).timely;
            let shard = self.choose_shard(pool, centre, wait, &mut *core.random.borrow_mut());
            let Some(shard) = shard else {
                return Err(PieceOutcome::Failed);
            };
            let order = aged(&order, now - started);
            let end = match self.owner_link(core, &shard, now) {
                Some(link) => self.ask_owner(core, &link, &shard, order, &on_read).await,
                None => Some(self.gather_here(&shard, order, Rc::clone(&on_read)).await),
            };
            match end {
                Some(end) if end != Err(PieceOutcome::Moved) => return end,
                _ => actix_rt::time::sleep(MOVE_PAUSE).await,
            }
        }
        let centre = order.data_centre.as_deref();
        let wait = |_: &str| Duration::ZERO;
        let shard = self.choose_shard(pool, centre, wait, &mut *core.random.borrow_mut());
        match shard {
            Some(shard) => {
                let order = aged(&order, started.elapsed());
                self.gather_here(&shard, order, on_read).await
            }
            None => Err(PieceOutcome::Failed),
        }
    }

    /// Has pieces made by calls of this entry.
    pub async fn gather_here(&self, pool: &str, order: StageJob, on_read: ReadHook) -> GatherEnd {
        let now = Instant::now();
        let (end, receiver) = oneshot::channel();
        let number = {
            let mut desks = self.desks.borrow_mut();
            let Some(open) = desks.get_mut(pool) else {
                return Err(PieceOutcome::Failed);
            };
            let number = open.desk.submit(order, now);
            open.waiting.insert(number, OrderWaiter { end, on_read });
            number
        };
        self.wake.notify_one();
        let _place = OrderPlace {
            service: self,
            pool,
            number,
        };
        receiver.await.unwrap_or(Err(PieceOutcome::Failed))
    }

    /// Frees results where the pool is gathered for.
    pub fn free(&self, core: &RelayCore, pool: &str, results: Vec<StageResult>) {
        let now = Instant::now();
        let mut parts: HashMap<String, Vec<StageResult>> = HashMap::new();
        for result in results {
            let shards = self.shards.borrow();
            let shard = shards
                .get(pool)
                .and_then(|shards| shards.shard_of(&result.maker));
            if let Some(shard) = shard {
                parts.entry(shard.name.clone()).or_default().push(result);
            }
        }
        for (pool, results) in parts {
            match self.owner_link(core, &pool, now) {
                Some(link) => link.send(GatherFrame::Free { pool, results }),
                None => self.free_here(&pool, results),
            }
        }
    }

    /// Frees results by calls of this entry.
    pub fn free_here(&self, pool: &str, results: Vec<StageResult>) {
        if let Some(open) = self.desks.borrow_mut().get_mut(pool) {
            open.desk.free_results(results, Instant::now());
            self.wake.notify_one();
        }
    }

    /// Carries out what the desks decide for as long as the process lives.
    pub async fn run(core: Rc<RelayCore>) {
        loop {
            let now = Instant::now();
            let wake_at = core.gather.carry_out(&core, now);
            let sleep = actix_rt::time::sleep_until(wake_at.into());
            tokio::select! {
                () = sleep => {}
                () = core.gather.wake.notified() => {}
            }
        }
    }

    fn carry_out(&self, core: &Rc<RelayCore>, now: Instant) -> Instant {
        let mut wake_at = now + IDLE_SLEEP;
        let settled = core.board.borrow().own_record().settled;
        let mut desks = self.desks.borrow_mut();
        for (pool, open) in desks.iter_mut() {
            open.renew_owner(is_owner(core, pool, now), now);
            if !settled {
                // Another entry may gather for the pool; the orders wait until that is known.
                wake_at = wake_at.min(now + SETTLE_PAUSE);
                continue;
            }
            for step in open.desk.take_actions(now) {
                match step {
                    BatchAction::Call { call, target, work } => {
                        self.start_call(core, pool, call, target, work);
                    }
                    BatchAction::Free { target, results } => {
                        self.start_free(core, pool, target, results);
                    }
                    BatchAction::InputsRead { job } => {
                        if let Some(waiter) = open.waiting.get(&job) {
                            (waiter.on_read)();
                        }
                    }
                    BatchAction::Made { job, results } => {
                        open.answer(job, Ok(results));
                    }
                    BatchAction::Failed { job, outcome } => {
                        debug!(core.log, "pieces failed"; "pool" => pool,
                            "reason" => ?outcome);
                        open.answer(job, Err(outcome));
                    }
                }
            }
            wake_at = open
                .desk
                .next_wake(now)
                .map_or(wake_at, |at| at.min(wake_at));
        }
        wake_at.max(now + Duration::from_millis(1))
    }
}

/// Takes an order back when dropped.
struct OrderPlace<'a> {
    service: &'a GatherService,
    pool: &'a str,
    number: JobId,
}

impl Drop for OrderPlace<'_> {
    fn drop(&mut self) {
        if let Some(open) = self.service.desks.borrow_mut().get_mut(self.pool) {
            open.desk.cancel(self.number, Instant::now());
            open.waiting.remove(&self.number);
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The order with the time that has passed since it was made.
fn aged(order: &StageJob, passed: Duration) -> StageJob {
    StageJob {
        aim_left: order.aim_left.saturating_sub(passed),
        time_left: order.time_left.saturating_sub(passed),
        ..order.clone()
    }
}
