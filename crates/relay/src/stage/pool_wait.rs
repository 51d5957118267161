use {
    crate::shared::RelayCore,
    board::pick_owner,
    route::id_hash,
    std::time::{Duration, Instant},
};

/// Expected waits of new work for a shard, as last reported by the owner of the shard; zero if
/// unknown.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolWait {
    /// Wait of work that can still meet its latency goal.
    pub timely: Duration,
    /// Wait of work that cannot meet its latency goal and is queued behind all other work.
    pub queue_end: Duration,
}

/// Returns the expected waits now at that shard of the pool where timely work waits shortest.
pub fn pool_wait(core: &RelayCore, pool: &str, now: Instant) -> PoolWait {
    core.batch_service
        .min_wait(pool, |shard| shard_wait(core, shard, now))
}

/// Returns the expected waits at a shard now.
pub fn shard_wait(core: &RelayCore, shard: &str, now: Instant) -> PoolWait {
    let hosts = core.hosts.borrow();
    let hash = id_hash(shard);
    let owner = pick_owner(shard, hosts.owner_candidates(now));
    let pool_loads = match owner {
        Some(owner) if owner != hosts.own_record().host => {
            let record = hosts.live_peers(now).find(|record| record.host == owner);
            record
                .map(|record| record.pools.clone())
                .unwrap_or_default()
        }
        _ => core.batch_service.own_pool_loads(now),
    };
    let load = pool_loads.iter().find(|load| load.pool == hash);
    load.map_or_else(PoolWait::default, |load| PoolWait {
        timely: Duration::from_millis(u64::from(load.wait_ms)),
        queue_end: Duration::from_millis(u64::from(load.last_wait_ms)),
    })
}
