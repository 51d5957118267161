use {
    crate::{
        AgedHostRecord, GossipMessage, GossipSettings, HostHeartbeat, HostRecord,
        host_row::{HostRow, is_large},
        rank_hosts,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    wire::{NEWEST_SCHEMA, OLDEST_SCHEMA, SchemaNumber},
};

/// Largest number of hosts that can own shards. Every message of a large fleet has the heartbeats
/// of all of them, so that all hosts agree on who they are.
pub(crate) const MAX_OWNER_HOSTS: usize = 16;
/// Key by which the hosts that can own shards are ranked.
const OWNER_RANK_KEY: &str = "owners";

/// The known hosts of the fleet, and the state of the gossip about them.
///
/// It does no I/O: it is given the times of rounds and the messages received, and returns the
/// messages to send.
#[derive(Debug)]
pub struct HostTable {
    pub(crate) settings: GossipSettings,
    /// Record of this host.
    pub(crate) own: HostRecord,
    pub(crate) seeds: Vec<SocketAddr>,
    /// Other hosts by name.
    pub(crate) rows: BTreeMap<String, HostRow>,
    /// Names of the other hosts by the hash of their process.
    pub(crate) processes: HashMap<u32, String>,
    /// Addresses that get the message of the next round besides the regular recipients: those of
    /// newly found hosts, and of hosts that asked for the record of this one.
    pub(crate) extra_recipients: BTreeSet<SocketAddr>,
    /// Hashes of live processes whose records are not known.
    pub(crate) unknown_processes: BTreeSet<u32>,
    pub(crate) random: ChaCha8Rng,
    pub(crate) round_count: u32,
    /// Value of `round_count` when a new process of a large host was heard of for the last time.
    pub(crate) last_new_process_round: u32,
}

impl HostTable {
    /// Creates the table of a process that knows only itself and the seeds.
    ///
    /// `random_seed` is the seed of the random choices.
    pub fn new(
        settings: GossipSettings,
        own: HostRecord,
        seeds: impl IntoIterator<Item = SocketAddr>,
        random_seed: u64,
    ) -> Self {
        let own_address = own.peers;
        Self {
            settings,
            own,
            seeds: seeds
                .into_iter()
                .filter(|seed| *seed != own_address)
                .collect(),
            rows: BTreeMap::new(),
            processes: HashMap::new(),
            extra_recipients: BTreeSet::new(),
            unknown_processes: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(random_seed),
            round_count: 0,
            last_new_process_round: 0,
        }
    }

    /// Returns the record of this host.
    pub fn own_record(&self) -> &HostRecord {
        &self.own
    }

    /// Returns the record of this host for changes; the message of the next round carries them to
    /// peers.
    pub fn own_record_mut(&mut self) -> &mut HostRecord {
        &mut self.own
    }

    /// Replaces the seeds: addresses that get messages while no live host is known there.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own_address = self.own.peers;
        self.seeds = seeds
            .into_iter()
            .filter(|seed| *seed != own_address)
            .collect();
    }

    /// Merges a message; returns true if it reports a new process, or a change in whether a host is
    /// ready or leaving.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) -> bool {
        let mut changed = false;
        let sender_address = message.records.first().map(|first| first.record.peers);
        if message.asked.contains(&self.own.process_hash()) {
            self.extra_recipients.extend(sender_address);
        }
        for (position, AgedHostRecord { mut record, age }) in
            message.records.into_iter().enumerate()
        {
            if record.host == self.own.host {
                continue;
            }
            if position > 0 {
                // Relayed records leave out the work at targets.
                let known = self.rows.get(&record.host);
                record.loads = known.map_or_else(Vec::new, |row| row.record.loads.clone());
            }
            changed |= self.merge_record(record, age, now);
        }
        for heartbeat in message.heartbeats {
            changed |= self.merge_heartbeat(heartbeat, now);
        }
        changed
    }

    /// Returns the records of the other hosts that wrote their latest known record or heartbeat
    /// within the silence timeout.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &HostRecord> {
        let silence_timeout = self.silence_timeout();
        let rows = self.rows.values();
        rows.filter(move |row| row.age(now) < silence_timeout)
            .map(|row| &row.record)
    }

    /// True if the host is this one or one of [`HostTable::live_peers`].
    pub fn is_live(&self, host: &str, now: Instant) -> bool {
        host == self.own.host || self.live_peers(now).any(|record| record.host == host)
    }

    /// Returns the names of the live hosts that can own shards: those that are settled, are not
    /// leaving, reach targets, and have at least three quarters of the largest core share among such hosts. If
    /// there are many, it returns those that rank highest, the same on every entry.
    ///
    /// Hosts other than this one must also have a configuration in force.
    pub fn owner_candidates(&self, now: Instant) -> BTreeSet<&str> {
        self.settled_hosts(now, |record| record.reaches_targets)
    }

    /// Returns the names of the hosts that can check the store for all: like
    /// [`HostTable::owner_candidates`], but they need not reach targets. Hosts that get no answers
    /// from the store are left out unless that holds for all.
    pub fn checker_candidates(&self, now: Instant) -> BTreeSet<&str> {
        let vouching = self.settled_hosts(now, |record| !record.mark().lacks_store);
        match vouching.is_empty() {
            true => self.settled_hosts(now, |_| true),
            false => vouching,
        }
    }

    fn settled_hosts(
        &self,
        now: Instant,
        is_suitable: impl Fn(&HostRecord) -> bool,
    ) -> BTreeSet<&str> {
        let is_able =
            |record: &HostRecord| !record.leaving && record.settled && is_suitable(record);
        let can_own = |record: &&HostRecord| is_able(record) && record.plan_version > 0;
        let mut hosts: Vec<&HostRecord> = self.live_peers(now).filter(can_own).collect();
        if is_able(&self.own) {
            hosts.push(&self.own);
        }
        largest_hosts(hosts).into_iter().collect()
    }

    /// Returns the names of the live hosts that can own shards now or once they are settled and
    /// have a configuration.
    pub(crate) fn owner_hosts(&self, now: Instant) -> impl Iterator<Item = &str> {
        let mut hosts: Vec<&HostRecord> = self.live_peers(now).collect();
        hosts.push(&self.own);
        hosts.retain(|record| !record.leaving);
        largest_hosts(hosts).into_iter()
    }

    /// Returns the records of the other live hosts that remember things for all entries: in a large
    /// fleet the few to which all entries have connections in any case. Unlike owners, they need not
    /// be settled or reach targets.
    pub fn holder_hosts(&self, now: Instant) -> impl Iterator<Item = &HostRecord> {
        let rows = self.owner_hosts(now).filter_map(|host| self.rows.get(host));
        rows.map(|row| &row.record)
    }

    /// Returns the latest version of the configuration that a live peer has in force; 0 if none.
    pub fn latest_peer_plan(&self, now: Instant) -> u64 {
        let versions = self.live_peers(now).map(|record| record.plan_version);
        versions.max().unwrap_or(0)
    }

    /// True if there are too many hosts for each to send its record to all others.
    pub fn is_large_fleet(&self) -> bool {
        self.rows.len() > self.settings.small_fleet_max_peers
    }

    /// Returns the time until the next round, which is shorter until this process is settled.
    pub fn round_interval(&self) -> Duration {
        match self.own.settled {
            true => self.settings.round_interval,
            false => self.settings.startup_round_interval,
        }
    }

    /// Returns the address at which another host receives datagrams; `None` if it is unknown.
    pub fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.rows.get(host).map(|row| row.record.peers)
    }

    /// Returns the schema that another host reads; the oldest one if the host is unknown.
    pub fn peer_schema(&self, host: &str) -> SchemaNumber {
        let row = self.rows.get(host);
        row.map_or(OLDEST_SCHEMA, |row| row.schema)
    }

    /// Returns the lowest schema of this host and all live ones. What all of them must decide alike
    /// goes by it.
    pub fn fleet_schema(&self, now: Instant) -> SchemaNumber {
        let hosts = self.live_peers(now).map(|record| record.host.as_str());
        let schemas = hosts.map(|host| self.peer_schema(host));
        schemas.min().unwrap_or(NEWEST_SCHEMA).min(NEWEST_SCHEMA)
    }

    /// Stores a record unless a later one is known; returns true if it is of a new process or
    /// changes whether the host is ready or leaving.
    fn merge_record(&mut self, record: HostRecord, age: Duration, now: Instant) -> bool {
        let written_at = now.checked_sub(age).unwrap_or(now);
        let known = self.rows.get(&record.host);
        if known.is_some_and(|row| !record.is_later(&row.record)) {
            return false;
        }
        let state = |record: &HostRecord| (record.incarnation, record.ready, record.leaving);
        let changed = known.is_none_or(|row| state(&row.record) != state(&record));
        let is_new_process = known.is_none_or(|row| row.record.incarnation != record.incarnation);
        let relay_count = match known {
            Some(row) if !is_new_process => row.relay_count,
            _ => 0,
        };
        if is_new_process {
            self.extra_recipients.insert(record.peers);
            if is_large(&record, self.max_core_share()) {
                self.last_new_process_round = self.round_count;
            }
        }
        let known_schema = known.filter(|_| !is_new_process).map(|row| row.schema);
        let mut row = HostRow::new(record, written_at, relay_count);
        row.schema = row.schema.max(known_schema.unwrap_or(OLDEST_SCHEMA));
        if is_new_process {
            self.processes.retain(|_, host| *host != row.record.host);
            self.processes.insert(row.process, row.record.host.clone());
        }
        self.rows.insert(row.record.host.clone(), row);
        changed
    }

    /// Updates a record by a later heartbeat; returns true if that changes whether the host is
    /// ready or leaving. An unknown process is asked for its record in the next round.
    fn merge_heartbeat(&mut self, heartbeat: HostHeartbeat, now: Instant) -> bool {
        let host = self.processes.get(&heartbeat.process);
        let Some(row) = host.and_then(|host| self.rows.get_mut(host)) else {
            if heartbeat.peers != self.own.peers {
                self.extra_recipients.insert(heartbeat.peers);
                self.unknown_processes.insert(heartbeat.process);
            }
            return false;
        };
        heartbeat.sequence > row.record.sequence && row.apply_heartbeat(heartbeat, now)
    }

    /// Returns the largest core share of all known hosts, whether they can own shards or not.
    pub(crate) fn max_core_share(&self) -> u32 {
        let shares = self.rows.values().map(|row| row.record.core_share);
        shares.max().unwrap_or(0).max(self.own.core_share)
    }

    /// Returns the age of its latest record or heartbeat at which a host counts as dead.
    pub(crate) fn silence_timeout(&self) -> Duration {
        match self.is_large_fleet() {
            true => self.settings.large_fleet_silence_timeout,
            false => self.settings.silence_timeout,
        }
    }
}

/// Returns the names of the hosts with a large core share, by descending rank; at most
/// `MAX_OWNER_HOSTS`.
fn largest_hosts(hosts: Vec<&HostRecord>) -> Vec<&str> {
    let max_core_share = hosts.iter().map(|record| record.core_share).max();
    let max_core_share = max_core_share.unwrap_or(0);
    let large = hosts
        .iter()
        .filter(|record| is_large(record, max_core_share));
    let names = large.map(|record| record.host.as_str());
    rank_hosts(OWNER_RANK_KEY, names, MAX_OWNER_HOSTS)
}
