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

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipRound {
    /// Addresses that get it.
    pub recipients: Vec<SocketAddr>,
    /// Its content.
    pub message: GossipMessage,
}

/// Least rounds until a process counts as settled.
const MIN_SETTLE_ROUNDS: u32 = 8;
/// Rounds without a new process after which it does.
const MIN_QUIET_ROUNDS: u32 = 3;
/// Rounds after which it counts as settled in any case.
const MAX_SETTLE_ROUNDS: u32 = 20;
/// Hosts that are greeted in one round.
const MAX_GREETINGS_PER_ROUND: usize = 24;
/// First rounds, in each of which seeds are asked that were not heard of.
const SEED_CONTACT_ROUNDS: u32 = 8;
/// How many times more often a note is passed on if its host can look after others.
const LARGE_HOST_WEIGHT: u32 = 8;

#[derive(Debug)]
struct TableRow {
    record: HostRecord,
    written_at: Instant,
    /// Times that the note was passed on since the process was first heard of.
    relay_count: u32,
}

/// True if a host has about as much of a core as the largest.
fn is_large(record: &HostRecord, most: u32) -> bool {
    record.core_share * 4 >= most * 3
}

impl TableRow {
    /// True if the note says what all entries should hear.
    fn has_urgent_state(&self) -> bool {
        !self.record.pools.is_empty() || !self.record.crashes.is_empty()
    }
}

/// Notes of all entries that are known, and whom to tell next.
///
/// It does no I/O: rounds and datagrams go in, datagrams come out.
#[derive(Debug)]
pub struct HostTable {
    settings: GossipSettings,
    own: HostRecord,
    seeds: Vec<SocketAddr>,
    rows: BTreeMap<String, TableRow>,
    /// Hosts that are to hear of this one soon.
    pending_greetings: BTreeSet<SocketAddr>,
    /// Processes that live and whose notes are not known.
    unknown_processes: BTreeSet<u32>,
    random: ChaCha8Rng,
    round_count: u32,
    /// Round in which the last process was heard of for the first time.
    last_new_process_round: u32,
}

impl HostTable {
    /// Board of a process that knows only itself and seeds.
    pub fn new(
        settings: GossipSettings,
        own: HostRecord,
        seeds: impl IntoIterator<Item = SocketAddr>,
        seed: u64,
    ) -> Self {
        let peers = own.peers;
        Self {
            settings,
            own,
            seeds: seeds.into_iter().filter(|seed| *seed != peers).collect(),
            rows: BTreeMap::new(),
            pending_greetings: BTreeSet::new(),
            unknown_processes: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            round_count: 0,
            last_new_process_round: 0,
        }
    }

    /// What this process says of itself.
    pub fn own_record(&self) -> &HostRecord {
        &self.own
    }

    /// Changes what this process says of itself from the next round on.
    pub fn own_record_mut(&mut self) -> &mut HostRecord {
        &mut self.own
    }

    /// Addresses that are asked while few peers are known.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.peers;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
    }

    /// Forgets old notes and makes the datagram of one round.
    pub fn next_round(&mut self, now: Instant) -> GossipRound {
        self.own.sequence += 1;
        let forget = self.settings.forget_after;
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.written_at) < forget);
        let to = self.pick_recipients(now);
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
            recipients: to,
            message,
        }
    }

    /// Takes in a datagram; true if a host was heard of for the first time or changed its state.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) -> bool {
        let mut changed = false;
        let sender = message.records.first().map(|own| own.record.peers);
        if message.asked.contains(&self.own.process_hash()) {
            self.pending_greetings.extend(sender);
        }
        for (position, AgedHostRecord { mut record, age }) in
            message.records.into_iter().enumerate()
        {
            if record.host == self.own.host {
                continue;
            }
            if position > 0 {
                // Notes that are passed on leave out the work at targets.
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

    /// Notes of the other hosts that were heard of lately.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = &HostRecord> {
        let silent = self.silence_timeout();
        let rows = self.rows.values();
        rows.filter(move |row| now.saturating_duration_since(row.written_at) < silent)
            .map(|row| &row.record)
    }

    /// True if the host is this one or was heard of lately.
    pub fn is_live(&self, host: &str, now: Instant) -> bool {
        host == self.own.host || self.live_peers(now).any(|record| record.host == host)
    }

    /// Names of the hosts that can look after something for others: those that know the others and
    /// have about as much of a core as the largest.
    pub fn owner_candidates(&self, now: Instant) -> BTreeSet<&str> {
        let able =
            |record: &&HostRecord| !record.leaving && record.settled && record.plan_version > 0;
        let mut hosts: Vec<&HostRecord> = self.live_peers(now).filter(able).collect();
        if !self.own.leaving && self.own.settled {
            hosts.push(&self.own);
        }
        let most = hosts
            .iter()
            .map(|record| record.core_share)
            .max()
            .unwrap_or(0);
        let large = hosts.iter().filter(|record| is_large(record, most));
        large.map(|record| record.host.as_str()).collect()
    }

    /// Time until the next round: shorter while the others are still to be found.
    pub fn round_interval(&self) -> Duration {
        match self.own.settled {
            true => self.settings.round_interval,
            false => self.settings.startup_round_interval,
        }
    }

    /// Address for peers of a host.
    pub fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.rows.get(host).map(|row| row.record.peers)
    }

    fn merge_record(&mut self, record: HostRecord, age: Duration, now: Instant) -> bool {
        let written_at = now.checked_sub(age).unwrap_or(now);
        let known = self.rows.get(&record.host);
        if known.is_some_and(|row| !record.is_later(&row.record)) {
            return false;
        }
        let state = |record: &HostRecord| (record.incarnation, record.ready, record.leaving);
        let changed = known.is_none_or(|row| state(&row.record) != state(&record));
        if known.is_none_or(|row| row.record.incarnation != record.incarnation) {
            self.pending_greetings.insert(record.peers);
            self.last_new_process_round = self.round_count;
        }
        let same = known.filter(|row| row.record.incarnation == record.incarnation);
        let relay_count = same.map_or(0, |row| row.relay_count);
        let row = TableRow {
            record,
            written_at,
            relay_count,
        };
        self.rows.insert(row.record.host.clone(), row);
        changed
    }

    fn merge_heartbeat(&mut self, heartbeat: HostHeartbeat, now: Instant) -> bool {
        let mut rows = self.rows.values_mut();
        let Some(row) = rows.find(|row| row.record.process_hash() == heartbeat.process) else {
            if heartbeat.peers != self.own.peers {
                self.pending_greetings.insert(heartbeat.peers);
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

    fn max_core_share(&self) -> u32 {
        let shares = self.rows.values().map(|row| row.record.core_share);
        shares.max().unwrap_or(0).max(self.own.core_share)
    }

    /// Some rounds have passed, and the last ones brought no new process.
    fn has_settled(&self) -> bool {
        let quiet = self.round_count.wrapping_sub(self.last_new_process_round);
        let begun = self.round_count >= MIN_SETTLE_ROUNDS && quiet >= MIN_QUIET_ROUNDS;
        begun || self.round_count >= MAX_SETTLE_ROUNDS
    }

    fn silence_timeout(&self) -> Duration {
        match self.rows.len() <= self.settings.max_small_fleet {
            true => self.settings.silence_timeout,
            false => self.settings.large_fleet_silence_timeout,
        }
    }

    /// Hosts whose notes are passed on: one that has something to tell, then those that were
    /// passed on least, so that new ones are soon known to all.
    fn pick_relayed_hosts(&mut self) -> Vec<String> {
        let rows = self.rows.values();
        let telling: Vec<&TableRow> = rows.filter(|row| row.has_urgent_state()).collect();
        let first = telling
            .choose(&mut self.random)
            .map(|row| row.record.host.clone());
        let most = self.max_core_share();
        let mut others: Vec<&TableRow> = self.rows.values().collect();
        others.sort_by_key(|row| match is_large(&row.record, most) {
            true => row.relay_count / LARGE_HOST_WEIGHT,
            false => row.relay_count,
        });
        let others = others.into_iter().map(|row| row.record.host.clone());
        let others = others.filter(|host| Some(host) != first.as_ref());
        let hosts = first.clone().into_iter().chain(others);
        hosts.take(self.settings.max_relayed_records).collect()
    }

    /// Signs of life of some hosts; in a small fleet every host tells all others itself.
    fn pick_heartbeats(&mut self, now: Instant) -> Vec<HostHeartbeat> {
        if self.rows.len() <= self.settings.max_small_fleet {
            return Vec::new();
        }
        let silent = self.silence_timeout();
        let rows = self.rows.values();
        let live = rows.filter(|row| now.saturating_duration_since(row.written_at) < silent);
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
        let most = self.settings.max_heartbeats;
        let chosen = heartbeats.choose_multiple(&mut self.random, most);
        chosen.copied().collect()
    }

    fn pick_recipients(&mut self, now: Instant) -> Vec<SocketAddr> {
        let silent = self.silence_timeout();
        let known: Vec<_> = self.rows.values().map(|row| row.record.peers).collect();
        let heard: BTreeSet<_> = self
            .rows
            .values()
            .filter(|row| now.saturating_duration_since(row.written_at) < silent)
            .map(|row| row.record.peers)
            .collect();
        let fan_out = match known.len() <= self.settings.max_small_fleet {
            true => known.len(),
            false => self.settings.fan_out,
        };
        let mut to: Vec<_> = known
            .choose_multiple(&mut self.random, fan_out)
            .copied()
            .collect();
        let seeking = self.round_count < SEED_CONTACT_ROUNDS;
        if seeking
            || self
                .round_count
                .is_multiple_of(self.settings.seed_interval_rounds)
        {
            let missing = self.seeds.iter().filter(|seed| !heard.contains(seed));
            to.extend(missing);
        }
        for _ in 0..MAX_GREETINGS_PER_ROUND {
            to.extend(self.pending_greetings.pop_first());
        }
        // Whoever is left is named again by the next sign of life.
        self.pending_greetings.clear();
        to.sort_unstable();
        to.dedup();
        to
    }

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
