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
    pub to: Vec<SocketAddr>,
    /// Its content.
    pub message: GossipMessage,
}

/// Least rounds until a process counts as settled.
const SETTLE_ROUNDS: u32 = 8;
/// Rounds without a new process after which it does.
const QUIET_ROUNDS: u32 = 3;
/// Rounds after which it counts as settled in any case.
const LONGEST_SETTLE: u32 = 20;
/// Hosts that are greeted in one round.
const GREETED_IN_ROUND: usize = 24;
/// First rounds, in each of which seeds are asked that were not heard of.
const SEEK_ROUNDS: u32 = 8;
/// How many times more often a note is passed on if its host can look after others.
const LARGE_FAVOUR: u32 = 8;

#[derive(Debug)]
struct TableRow {
    record: HostRecord,
    written: Instant,
    /// Times that the note was passed on since the process was first heard of.
    told: u32,
}

/// True if a host has about as much of a core as the largest.
fn is_large(record: &HostRecord, most: u32) -> bool {
    record.core_share * 4 >= most * 3
}

impl TableRow {
    /// True if the note says what all entries should hear.
    fn has_news(&self) -> bool {
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
    greeted: BTreeSet<SocketAddr>,
    /// Processes that live and whose notes are not known.
    unknown: BTreeSet<u32>,
    random: ChaCha8Rng,
    rounds: u32,
    /// Round in which the last process was heard of for the first time.
    news_round: u32,
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
            greeted: BTreeSet::new(),
            unknown: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            rounds: 0,
            news_round: 0,
        }
    }

    /// What this process says of itself.
    pub fn own(&self) -> &HostRecord {
        &self.own
    }

    /// Changes what this process says of itself from the next round on.
    pub fn own_mut(&mut self) -> &mut HostRecord {
        &mut self.own
    }

    /// Addresses that are asked while few peers are known.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.peers;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
    }

    /// Forgets old notes and makes the datagram of one round.
    pub fn round(&mut self, now: Instant) -> GossipRound {
        self.own.sequence += 1;
        let forget = self.settings.forget_after;
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.written) < forget);
        let to = self.receivers(now);
        self.rounds = self.rounds.wrapping_add(1);
        self.own.settled |= self.has_settled();
        let message = GossipMessage {
            records: self.records(now),
            heartbeats: self.pulses(now),
            asked: std::mem::take(&mut self.unknown).into_iter().collect(),
        };
        GossipRound { to, message }
    }

    /// Takes in a datagram; true if a host was heard of for the first time or changed its state.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) -> bool {
        let mut changed = false;
        let sender = message.records.first().map(|own| own.record.peers);
        if message.asked.contains(&self.own.process()) {
            self.greeted.extend(sender);
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
            changed |= self.take_note(record, age, now);
        }
        for pulse in message.heartbeats {
            changed |= self.take_pulse(pulse, now);
        }
        changed
    }

    /// Notes of the other hosts that were heard of lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &HostRecord> {
        let silent = self.silent_after();
        let rows = self.rows.values();
        rows.filter(move |row| now.saturating_duration_since(row.written) < silent)
            .map(|row| &row.record)
    }

    /// True if the host is this one or was heard of lately.
    pub fn is_live(&self, host: &str, now: Instant) -> bool {
        host == self.own.host || self.live(now).any(|record| record.host == host)
    }

    /// Names of the hosts that can look after something for others: those that know the others and
    /// have about as much of a core as the largest.
    pub fn owners(&self, now: Instant) -> BTreeSet<&str> {
        let able =
            |record: &&HostRecord| !record.leaving && record.settled && record.plan_version > 0;
        let mut hosts: Vec<&HostRecord> = self.live(now).filter(able).collect();
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
    pub fn pace(&self) -> Duration {
        match self.own.settled {
            true => self.settings.round,
            false => self.settings.first_round,
        }
    }

    /// Address for peers of a host.
    pub fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.rows.get(host).map(|row| row.record.peers)
    }

    fn take_note(&mut self, record: HostRecord, age: Duration, now: Instant) -> bool {
        let written = now.checked_sub(age).unwrap_or(now);
        let known = self.rows.get(&record.host);
        if known.is_some_and(|row| !record.is_later(&row.record)) {
            return false;
        }
        let state = |record: &HostRecord| (record.incarnation, record.ready, record.leaving);
        let changed = known.is_none_or(|row| state(&row.record) != state(&record));
        if known.is_none_or(|row| row.record.incarnation != record.incarnation) {
            self.greeted.insert(record.peers);
            self.news_round = self.rounds;
        }
        let same = known.filter(|row| row.record.incarnation == record.incarnation);
        let told = same.map_or(0, |row| row.told);
        let row = TableRow {
            record,
            written,
            told,
        };
        self.rows.insert(row.record.host.clone(), row);
        changed
    }

    fn take_pulse(&mut self, pulse: HostHeartbeat, now: Instant) -> bool {
        let mut rows = self.rows.values_mut();
        let Some(row) = rows.find(|row| row.record.process() == pulse.process) else {
            if pulse.peers != self.own.peers {
                self.greeted.insert(pulse.peers);
                self.unknown.insert(pulse.process);
            }
            return false;
        };
        if pulse.sequence <= row.record.sequence {
            return false;
        }
        let age = Duration::from_millis(u64::from(pulse.age_ms));
        row.written = now.checked_sub(age).unwrap_or(now);
        row.record.sequence = pulse.sequence;
        let changed = (row.record.ready, row.record.leaving) != (pulse.ready, pulse.leaving);
        row.record.ready = pulse.ready;
        row.record.leaving = pulse.leaving;
        row.record.settled = pulse.settled;
        changed
    }

    fn most_core_share(&self) -> u32 {
        let shares = self.rows.values().map(|row| row.record.core_share);
        shares.max().unwrap_or(0).max(self.own.core_share)
    }

    /// Some rounds have passed, and the last ones brought no new process.
    fn has_settled(&self) -> bool {
        let quiet = self.rounds.wrapping_sub(self.news_round);
        let begun = self.rounds >= SETTLE_ROUNDS && quiet >= QUIET_ROUNDS;
        begun || self.rounds >= LONGEST_SETTLE
    }

    fn silent_after(&self) -> Duration {
        match self.rows.len() <= self.settings.small_fleet {
            true => self.settings.silent_after,
            false => self.settings.silent_after_large,
        }
    }

    /// Hosts whose notes are passed on: one that has something to tell, then those that were
    /// passed on least, so that new ones are soon known to all.
    fn relayed_hosts(&mut self) -> Vec<String> {
        let rows = self.rows.values();
        let telling: Vec<&TableRow> = rows.filter(|row| row.has_news()).collect();
        let first = telling
            .choose(&mut self.random)
            .map(|row| row.record.host.clone());
        let most = self.most_core_share();
        let mut others: Vec<&TableRow> = self.rows.values().collect();
        others.sort_by_key(|row| match is_large(&row.record, most) {
            true => row.told / LARGE_FAVOUR,
            false => row.told,
        });
        let others = others.into_iter().map(|row| row.record.host.clone());
        let others = others.filter(|host| Some(host) != first.as_ref());
        let hosts = first.clone().into_iter().chain(others);
        hosts.take(self.settings.relayed).collect()
    }

    /// Signs of life of some hosts; in a small fleet every host tells all others itself.
    fn pulses(&mut self, now: Instant) -> Vec<HostHeartbeat> {
        if self.rows.len() <= self.settings.small_fleet {
            return Vec::new();
        }
        let silent = self.silent_after();
        let rows = self.rows.values();
        let live = rows.filter(|row| now.saturating_duration_since(row.written) < silent);
        let pulses = live.map(|row| {
            let age = now.saturating_duration_since(row.written).as_millis();
            HostHeartbeat {
                process: row.record.process(),
                peers: row.record.peers,
                sequence: row.record.sequence,
                age_ms: u16::try_from(age).unwrap_or(u16::MAX),
                ready: row.record.ready,
                leaving: row.record.leaving,
                settled: row.record.settled,
            }
        });
        let pulses: Vec<_> = pulses.collect();
        let most = self.settings.pulses;
        let chosen = pulses.choose_multiple(&mut self.random, most);
        chosen.copied().collect()
    }

    fn receivers(&mut self, now: Instant) -> Vec<SocketAddr> {
        let silent = self.silent_after();
        let known: Vec<_> = self.rows.values().map(|row| row.record.peers).collect();
        let heard: BTreeSet<_> = self
            .rows
            .values()
            .filter(|row| now.saturating_duration_since(row.written) < silent)
            .map(|row| row.record.peers)
            .collect();
        let fan_out = match known.len() <= self.settings.small_fleet {
            true => known.len(),
            false => self.settings.fan_out,
        };
        let mut to: Vec<_> = known
            .choose_multiple(&mut self.random, fan_out)
            .copied()
            .collect();
        let seeking = self.rounds < SEEK_ROUNDS;
        if seeking || self.rounds.is_multiple_of(self.settings.seed_rounds) {
            let missing = self.seeds.iter().filter(|seed| !heard.contains(seed));
            to.extend(missing);
        }
        for _ in 0..GREETED_IN_ROUND {
            to.extend(self.greeted.pop_first());
        }
        // Whoever is left is named again by the next sign of life.
        self.greeted.clear();
        to.sort_unstable();
        to.dedup();
        to
    }

    fn records(&mut self, now: Instant) -> Vec<AgedHostRecord> {
        let own = AgedHostRecord {
            record: self.own.clone(),
            age: Duration::ZERO,
        };
        let mut records = vec![own];
        for host in self.relayed_hosts() {
            let Some(row) = self.rows.get_mut(&host) else {
                continue;
            };
            row.told += 1;
            let record = HostRecord {
                loads: Vec::new(),
                ..row.record.clone()
            };
            records.push(AgedHostRecord {
                record,
                age: now.saturating_duration_since(row.written),
            });
        }
        records
    }
}
