use {
    crate::PoolLoad,
    wire::{OLDEST_SCHEMA, SchemaNumber},
};

/// Stands for the mark in the place of the hash of a shard's name.
const MARK_POOL: u64 = 0;
/// Set if the entry gets no answers from the store.
const LACKS_STORE: u32 = 1;

/// What an entry tells of itself besides the fields of its record.
///
/// Records and heartbeats of the oldest schema have no place for it. A daemon of any schema passes
/// lists of loads on unchanged and ignores those of shards that it does not know, so a load of no
/// shard stands for the mark.
///
/// ```
/// let mark = board::HostMark { schema: 2, lacks_store: true };
/// assert_eq!(board::HostMark::find(&[mark.to_load()]), mark);
/// assert_eq!(board::HostMark::find(&[]).schema, 1);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostMark {
    /// Schema that the entry reads.
    pub schema: SchemaNumber,
    /// True while the entry's calls to the store fail, so that it cannot vouch for what it knows.
    pub lacks_store: bool,
}

impl HostMark {
    /// Returns the load that stands for the mark in a record.
    pub fn to_load(self) -> PoolLoad {
        PoolLoad {
            pool: MARK_POOL,
            wait_ms: u32::from(self.schema),
            last_wait_ms: if self.lacks_store { LACKS_STORE } else { 0 },
        }
    }

    /// Returns true if the load stands for a mark.
    pub fn is_mark(load: &PoolLoad) -> bool {
        load.pool == MARK_POOL
    }

    /// Returns the mark among the loads of a record; that of the oldest schema if there is none.
    pub fn find(loads: &[PoolLoad]) -> Self {
        let mark = loads.iter().find(|load| Self::is_mark(load));
        let schema = mark.and_then(|mark| SchemaNumber::try_from(mark.wait_ms).ok());
        Self {
            schema: schema.unwrap_or(OLDEST_SCHEMA),
            lacks_store: mark.is_some_and(|mark| mark.last_wait_ms & LACKS_STORE != 0),
        }
    }
}
