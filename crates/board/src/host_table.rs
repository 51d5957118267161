use {
    crate::{AgedHostRecord, GossipMessage, GossipSettings, HostHeartbeat, HostRecord},
    rand::{SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The outgoing message of one gossip round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipRound {
    /// Addresses of the peers and seeds that the message goes to.
    pub recipients: Vec<SocketAddr>,
    /// The message.
    pub message: GossipMessage,
}

/// A process is settled no earlier than this round after its start.
const MIN_SETTLE_ROUNDS: u32 = 8;
/// Number of rounds in a row that must bring no new process before this one is settled.
const MIN_QUIET_ROUNDS: u32 = 3;
/// A process is settled no later than this round after its start, also while new ones are found.
const MAX_SETTLE_ROUNDS: u32 = 20;
/// Largest number of `extra_recipients` that get the message of one round.
const MAX_EXTRA_RECIPIENTS: usize = 24;
/// In each of this many rounds after the start, the message goes to all seeds at which no live host
/// is known.
const SEED_CONTACT_ROUNDS: u32 = 8;
/// How many times more often the record of a large host is relayed, since only large hosts can own
/// shards.
const LARGE_HOST_WEIGHT: u32 = 8;

/// What this host knows of another host.
#[derive(Debug)]
struct TableRow {
    record: HostRecord,
    /// Time at which the host wrote the latest known version of the record, by the local clock.
    written_at: Instant,
    /// Number of times that the record was relayed since the process was first heard of.
    relay_count: u32,
}

/// True if a host has at least three quarters of the largest core share.
fn is_large(record: &HostRecord, max_core_share: u32) -> bool {
    record.core_share * 4 >= max_core_share * 3
}

impl TableRow {
    /// True if the record has state that all hosts should learn of soon.
    fn has_urgent_state(&self) -> bool {
        !self.record.pools.is_empty() || !self.record.crashes.is_empty()
    }
}

/// The known hosts of the fleet, and the state of the gossip about them.
///
/// It does no I/O: it is given the times of rounds and the messages received, and returns the
/// messages to send.
#[derive(Debug)]
pub struct HostTable {
    settings: GossipSettings,
    /// Record of this host.
    own: HostRecord,
    seeds: Vec<SocketAddr>,
    /// Other hosts by name.
    rows: BTreeMap<String, TableRow>,
    /// Addresses that get the message of the next round besides the regular recipients: those of
    /// newly found hosts, and of hosts that asked for the record of this one.
    extra_recipients: BTreeSet<SocketAddr>,
    /// Hashes of live processes whose records are not known.
    unknown_processes: BTreeSet<u32>,
    random: ChaCha8Rng,
    round_count: u32,
    /// Value of `round_count` when a new process was heard of for the last time.
    last_new_process_round: u32,
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

    /// Deletes old records and returns the message of the next gossip round.
    pub fn next_round(&mut self, now: Instant) -> GossipRound {
        self.own.sequence += 1;
        let forget_after = self.settings.forget_after;
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.written_at) < forget_after);
        let recipients = self.pick_recipients(now);
        self.round_count = self.round_count.wrapping_add(1);
        self.own.settled |= self.has_settled();
        let message = GossipMessage {
            records: self.pick_records(now),
            heartbeats: self.pick_heartbeats(now),
            asked: std::mem::take(&mut self.unknown_processes)
                .into_iter()
                .collect(),
        };
        GossipRound {
            recipients,
            message,
        }
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
        rows.filter(move |row| now.saturating_duration_since(row.written_at) < silence_timeout)
            .map(|row| &row.record)
    }

    /// True if the host is this one or one of [`HostTable::live_peers`].
    pub fn is_live(&self, host: &str, now: Instant) -> bool {
        host == self.own.host || self.live_peers(now).any(|record| record.host == host)
    }

    /// Returns the names of the live hosts that can own shards: those that are settled, are not
    /// leaving, and have at least three quarters of the largest core share among such hosts.
    ///
    /// Hosts other than this one must also have a configuration in force.
    pub fn owner_candidates(&self, now: Instant) -> BTreeSet<&str> {
        let can_own =
            |record: &&HostRecord| !record.leaving && record.settled && record.plan_version > 0;
        let mut hosts: Vec<&HostRecord> = self.live_peers(now).filter(can_own).collect();
        if !self.own.leaving && self.own.settled {
            hosts.push(&self.own);
        }
        let max_candidate_share = hosts
            .iter()
            .map(|record| record.core_share)
            .max()
            .unwrap_or(0);
        let large = hosts
            .iter()
            .filter(|record| is_large(record, max_candidate_share));
        large.map(|record| record.host.as_str()).collect()
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
        if known.is_none_or(|row| row.record.incarnation != record.incarnation) {
            self.extra_recipients.insert(record.peers);
            self.last_new_process_round = self.round_count;
        }
        let same_process = known.filter(|row| row.record.incarnation == record.incarnation);
        let relay_count = same_process.map_or(0, |row| row.relay_count);
        let row = TableRow {
            record,
            written_at,
            relay_count,
        };
        self.rows.insert(row.record.host.clone(), row);
        changed
    }

    /// Updates a record by a later heartbeat; returns true if that changes whether the host is
    /// ready or leaving. An unknown process is asked for its record in the next round.
    fn merge_heartbeat(&mut self, heartbeat: HostHeartbeat, now: Instant) -> bool {
        let mut rows = self.rows.values_mut();
        let Some(row) = rows.find(|row| row.record.process_hash() == heartbeat.process) else {
            if heartbeat.peers != self.own.peers {
                self.extra_recipients.insert(heartbeat.peers);
                self.unknown_processes.insert(heartbeat.process);
            }
            return false;
        };
        if heartbeat.sequence <= row.record.sequence {
            return false;
        }
        let age = Duration::from_millis(u64::from(heartbeat.age_ms));
        row.written_at = now.checked_sub(age).unwrap_or(now);
        row.record.sequence = heartbeat.sequence;
        let changed =
            (row.record.ready, row.record.leaving) != (heartbeat.ready, heartbeat.leaving);
        row.record.ready = heartbeat.ready;
        row.record.leaving = heartbeat.leaving;
        row.record.settled = heartbeat.settled;
        changed
    }

    /// Returns the largest core share of all known hosts, whether they can own shards or not.
    fn max_core_share(&self) -> u32 {
        let shares = self.rows.values().map(|row| row.record.core_share);
        shares.max().unwrap_or(0).max(self.own.core_share)
    }

    /// True if enough rounds have passed and the last ones brought no new process, or if
    /// `MAX_SETTLE_ROUNDS` have passed.
    fn has_settled(&self) -> bool {
        let quiet_rounds = self.round_count.wrapping_sub(self.last_new_process_round);
        let has_found_hosts =
            self.round_count >= MIN_SETTLE_ROUNDS && quiet_rounds >= MIN_QUIET_ROUNDS;
        has_found_hosts || self.round_count >= MAX_SETTLE_ROUNDS
    }

    fn silence_timeout(&self) -> Duration {
        match self.rows.len() <= self.settings.small_fleet_max_peers {
            true => self.settings.silence_timeout,
            false => self.settings.large_fleet_silence_timeout,
        }
    }

    /// Chooses the hosts whose records are relayed: a random one with urgent state, then those
    /// whose records were relayed least often, so that new ones are soon known to all.
    fn pick_relayed_hosts(&mut self) -> Vec<String> {
        let rows = self.rows.values();
        let urgent: Vec<&TableRow> = rows.filter(|row| row.has_urgent_state()).collect();
        let first = urgent
            .choose(&mut self.random)
            .map(|row| row.record.host.clone());
        let max_core_share = self.max_core_share();
        let mut others: Vec<&TableRow> = self.rows.values().collect();
        others.sort_by_key(|row| match is_large(&row.record, max_core_share) {
            true => row.relay_count / LARGE_HOST_WEIGHT,
            false => row.relay_count,
        });
        let others = others.into_iter().map(|row| row.record.host.clone());
        let others = others.filter(|host| Some(host) != first.as_ref());
        let hosts = first.clone().into_iter().chain(others);
        hosts.take(self.settings.max_relayed_records).collect()
    }

    /// Returns heartbeats of randomly chosen live hosts. A small fleet needs none, since every host
    /// there sends its record to all others.
    fn pick_heartbeats(&mut self, now: Instant) -> Vec<HostHeartbeat> {
        if self.rows.len() <= self.settings.small_fleet_max_peers {
            return Vec::new();
        }
        let silence_timeout = self.silence_timeout();
        let rows = self.rows.values();
        let live =
            rows.filter(|row| now.saturating_duration_since(row.written_at) < silence_timeout);
        let heartbeats = live.map(|row| {
            let age = now.saturating_duration_since(row.written_at).as_millis();
            HostHeartbeat {
                process: row.record.process_hash(),
                peers: row.record.peers,
                sequence: row.record.sequence,
                age_ms: u16::try_from(age).unwrap_or(u16::MAX),
                ready: row.record.ready,
                leaving: row.record.leaving,
                settled: row.record.settled,
            }
        });
        let heartbeats: Vec<_> = heartbeats.collect();
        let max_heartbeats = self.settings.max_heartbeats;
        let chosen = heartbeats.choose_multiple(&mut self.random, max_heartbeats);
        chosen.copied().collect()
    }

    /// Chooses the addresses that get the message of the round: peers, seeds at which no live host
    /// is known, and extra recipients.
    fn pick_recipients(&mut self, now: Instant) -> Vec<SocketAddr> {
        let silence_timeout = self.silence_timeout();
        let known: Vec<_> = self.rows.values().map(|row| row.record.peers).collect();
        let live: BTreeSet<_> = self
            .rows
            .values()
            .filter(|row| now.saturating_duration_since(row.written_at) < silence_timeout)
            .map(|row| row.record.peers)
            .collect();
        let fan_out = match known.len() <= self.settings.small_fleet_max_peers {
            true => known.len(),
            false => self.settings.fan_out,
        };
        let mut recipients: Vec<_> = known
            .choose_multiple(&mut self.random, fan_out)
            .copied()
            .collect();
        let is_starting = self.round_count < SEED_CONTACT_ROUNDS;
        if is_starting
            || self
                .round_count
                .is_multiple_of(self.settings.seed_interval_rounds)
        {
            let missing_seeds = self.seeds.iter().filter(|seed| !live.contains(seed));
            recipients.extend(missing_seeds);
        }
        for _ in 0..MAX_EXTRA_RECIPIENTS {
            recipients.extend(self.extra_recipients.pop_first());
        }
        // Drops the remaining addresses; a heartbeat of a process that is still unknown adds its
        // address again.
        self.extra_recipients.clear();
        recipients.sort_unstable();
        recipients.dedup();
        recipients
    }

    /// Returns the record of this host and the relayed ones, with their ages.
    fn pick_records(&mut self, now: Instant) -> Vec<AgedHostRecord> {
        let own = AgedHostRecord {
            record: self.own.clone(),
            age: Duration::ZERO,
        };
        let mut records = vec![own];
        for host in self.pick_relayed_hosts() {
            let Some(row) = self.rows.get_mut(&host) else {
                continue;
            };
            row.relay_count += 1;
            let record = HostRecord {
                loads: Vec::new(),
                ..row.record.clone()
            };
            records.push(AgedHostRecord {
                record,
                age: now.saturating_duration_since(row.written_at),
            });
        }
        records
    }
}
