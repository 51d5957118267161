use {
    crate::shared::RelayCore,
    board::{HostMark, HostRecord, PoolLoad, pick_owner},
    route::id_hash,
    std::time::{Duration, Instant},
};

/// Bits of the hash that are used: it takes up half of the bytes in messages that are short of room.
const URGENCY_HASH_MASK: u64 = 0x0fff_ffff;

/// Expected waits of new work for a shard, as last reported by the owner of the shard; zero if
/// unknown.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolWait {
    /// Wait of work that can still meet its latency goal.
    pub timely: Duration,
    /// Wait of work that cannot meet its latency goal and is queued behind all other work.
    pub queue_end: Duration,
}

/// Returns the expected waits of work of this urgency now at that shard of the pool where timely
/// work waits shortest.
pub fn pool_wait(core: &RelayCore, pool: &str, urgency: u8, now: Instant) -> PoolWait {
    core.batch_service
        .min_wait(pool, |shard| shard_wait(core, shard, urgency, now))
}

/// Returns the expected waits of work of this urgency at a shard now.
pub fn shard_wait(core: &RelayCore, shard: &str, urgency: u8, now: Instant) -> PoolWait {
    let hosts = core.hosts.borrow();
    let owner = pick_owner(shard, hosts.owner_candidates(now));
    let record = match owner {
        Some(owner) if owner != hosts.own_record().host => {
            hosts.live_peers(now).find(|record| record.host == owner)
        }
        _ => return core.batch_service.own_wait(shard, urgency, now),
    };
    let Some(HostRecord {
        pools: pool_loads, ..
    }) = record
    else {
        return PoolWait::default();
    };
    let find_load = |pool: u64| pool_loads.iter().find(|load| load.pool == pool);
    // An owner that does not tell waits by urgency tells that of the least urgent work.
    let load = find_load(urgency_hash(shard, urgency)).or_else(|| find_load(id_hash(shard)));
    load.map_or_else(PoolWait::default, |load| PoolWait {
        timely: Duration::from_millis(u64::from(load.wait_ms)),
        queue_end: Duration::from_millis(u64::from(load.last_wait_ms)),
    })
}

/// Returns the hash that stands for the work of one urgency at a shard in the loads of an entry.
pub fn urgency_hash(shard: &str, urgency: u8) -> u64 {
    id_hash(&format!("{shard}/{urgency}")) & URGENCY_HASH_MASK
}

/// Returns true if the load is that of one urgency at a shard.
pub fn is_urgency_load(load: &PoolLoad) -> bool {
    !HostMark::is_mark(load) && load.pool <= URGENCY_HASH_MASK
}
