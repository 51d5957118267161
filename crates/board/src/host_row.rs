use {
    crate::{HostHeartbeat, HostMark, HostRecord, PoolLoad},
    std::time::{Duration, Instant},
    wire::SchemaNumber,
};

/// What this host knows of another host.
#[derive(Debug)]
pub(crate) struct HostRow {
    pub record: HostRecord,
    /// [`HostRecord::process_hash`] of the record.
    pub process: u32,
    /// Time at which the host wrote the latest known version of the record, by the local clock.
    pub written_at: Instant,
    /// Schema that the process reads. Records and heartbeats that older builds pass on may lack it.
    pub schema: SchemaNumber,
    /// Number of times that the record was relayed since the process was first heard of.
    pub relay_count: u32,
}

impl HostRow {
    /// Creates the row of a record that was written at the given time.
    pub fn new(record: HostRecord, written_at: Instant, relay_count: u32) -> Self {
        Self {
            process: record.process_hash(),
            schema: record.mark().schema,
            record,
            written_at,
            relay_count,
        }
    }

    /// Returns the time since the latest known version of the record was written.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.written_at)
    }

    /// True if the host has state that all hosts should learn of soon.
    pub fn has_urgent_state(&self) -> bool {
        !self.record.crashes.is_empty()
    }

    /// Returns the record as it is passed on, with the mark of its host.
    pub fn relayed_record(&self) -> HostRecord {
        let mark = HostMark {
            schema: self.schema,
            ..self.record.mark()
        };
        let mut record = self.record.clone();
        record.pools.retain(|load| !HostMark::is_mark(load));
        record.pools.push(mark.to_load());
        HostRecord {
            loads: Vec::new(),
            ..record
        }
    }

    /// Returns the short form of the record. It has room for the mark of a host only while the host
    /// lacks the store; the schema does not change.
    pub fn heartbeat(&self, now: Instant) -> HostHeartbeat {
        HostHeartbeat {
            process: self.process,
            peers: self.record.peers,
            sequence: self.record.sequence,
            age_ms: u16::try_from(self.age(now).as_millis()).unwrap_or(u16::MAX),
            ready: self.record.ready,
            reaches_targets: self.record.reaches_targets,
            leaving: self.record.leaving,
            settled: self.record.settled,
            plan_version: self.record.plan_version,
            pools: self.heartbeat_pools(),
        }
    }

    fn heartbeat_pools(&self) -> Vec<PoolLoad> {
        let lacks_store = self.record.mark().lacks_store;
        let pools = self.record.pools.iter();
        pools
            .filter(|load| lacks_store || !HostMark::is_mark(load))
            .copied()
            .collect()
    }

    /// Applies a later heartbeat of the same process. Returns true if it changes whether the host
    /// is ready or leaving.
    pub fn apply_heartbeat(&mut self, heartbeat: HostHeartbeat, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(heartbeat.age_ms));
        self.written_at = now.checked_sub(age).unwrap_or(now);
        let record = &mut self.record;
        let changed = (record.ready, record.leaving) != (heartbeat.ready, heartbeat.leaving);
        record.sequence = heartbeat.sequence;
        record.ready = heartbeat.ready;
        record.reaches_targets = heartbeat.reaches_targets;
        record.leaving = heartbeat.leaving;
        record.settled = heartbeat.settled;
        record.plan_version = heartbeat.plan_version;
        record.pools = heartbeat.pools;
        changed
    }
}

/// True if a host has at least three quarters of the largest core share.
pub(crate) fn is_large(record: &HostRecord, max_core_share: u32) -> bool {
    record.core_share * 4 >= max_core_share * 3
}
