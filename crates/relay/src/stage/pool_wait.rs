use {
    crate::shared::RelayCore,
    board::pick_owner,
    route::id_hash,
    std::time::{Duration, Instant},
};

/// Waits at the entry that gathers for the pool, as it told last.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolWait {
    /// Wait of new work whose aim can be met.
    pub timely: Duration,
    /// Wait of work that lets all other go first.
    pub last: Duration,
}

/// Waits for a pool now, at the part of it that waits least.
pub fn pool_wait(core: &RelayCore, pool: &str, now: Instant) -> PoolWait {
    core.gather
        .least_wait(pool, |shard| shard_wait(core, shard, now))
}

/// Waits for a part of a pool now.
pub fn shard_wait(core: &RelayCore, pool: &str, now: Instant) -> PoolWait {
    let board = core.board.borrow();
    let hash = id_hash(pool);
    let owner = pick_owner(pool, board.owner_candidates(now));
    let own = core.gather.pool_waits(now);
    let told = match owner {
        Some(owner) if owner != board.own_record().host => {
            let record = board.live_peers(now).find(|record| record.host == owner);
            record
                .map(|record| record.pools.clone())
                .unwrap_or_default()
        }
        _ => own,
    };
    let load = told.iter().find(|load| load.pool == hash);
    load.map_or_else(PoolWait::default, |load| PoolWait {
        timely: Duration::from_millis(u64::from(load.wait_ms)),
        last: Duration::from_millis(u64::from(load.last_wait_ms)),
    })
}
