use {
    crate::{
        AgedHostRecord, GossipMessage, HostHeartbeat, HostTable,
        host_row::{HostRow, is_large},
    },
    rand::seq::{IndexedRandom, SliceRandom},
    std::{collections::BTreeSet, net::SocketAddr, time::Instant},
};

/// A process is settled no earlier than this round after its start.
const MIN_SETTLE_ROUNDS: u32 = 8;
/// Number of rounds in a row that must bring no new process of a large host before this one is
/// settled.
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

/// The outgoing message of one gossip round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipRound {
    /// Addresses of the peers and seeds that the message goes to.
    pub recipients: Vec<SocketAddr>,
    /// The message.
    pub message: GossipMessage,
}

/// The rounds of gossip: what a message says, and who gets it.
///
/// In a fleet of hundreds a random choice of heartbeats names each host so rarely that some hosts
/// take a live owner of a shard for silent and call its targets themselves. So every message names
/// all hosts that can own shards, and these send to each other in every round.
impl HostTable {
    /// Deletes old records and returns the message of the next gossip round.
    pub fn next_round(&mut self, now: Instant) -> GossipRound {
        self.own.sequence += 1;
        let forget_after = self.settings.forget_after;
        self.rows.retain(|_, row| row.age(now) < forget_after);
        let rows = &self.rows;
        self.processes.retain(|_, host| rows.contains_key(host));
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

    /// True if enough rounds have passed and the last ones brought no new process of a large host,
    /// or if `MAX_SETTLE_ROUNDS` have passed.
    fn has_settled(&self) -> bool {
        let quiet_rounds = self.round_count.wrapping_sub(self.last_new_process_round);
        let has_found_hosts =
            self.round_count >= MIN_SETTLE_ROUNDS && quiet_rounds >= MIN_QUIET_ROUNDS;
        has_found_hosts || self.round_count >= MAX_SETTLE_ROUNDS
    }

    /// Chooses the hosts whose records are relayed: a random one with urgent state, then those
    /// whose records were relayed least often, so that new ones are soon known to all. Large hosts
    /// come first; among equals the order is random, so that hosts relay different records.
    fn pick_relayed_hosts(&mut self) -> Vec<String> {
        let rows = self.rows.values();
        let urgent: Vec<&HostRow> = rows.filter(|row| row.has_urgent_state()).collect();
        let first = urgent
            .choose(&mut self.random)
            .map(|row| row.record.host.clone());
        let max_core_share = self.max_core_share();
        let mut others: Vec<&HostRow> = self.rows.values().collect();
        others.shuffle(&mut self.random);
        others.sort_by_key(|row| match is_large(&row.record, max_core_share) {
            true => row.relay_count / LARGE_HOST_WEIGHT,
            false => row.relay_count + 1,
        });
        let others = others.into_iter().map(|row| row.record.host.clone());
        let others = others.filter(|host| Some(host) != first.as_ref());
        let hosts = first.clone().into_iter().chain(others);
        hosts.take(self.settings.max_relayed_records).collect()
    }

    /// Returns the heartbeats of all hosts that can own shards, followed by those of randomly chosen
    /// live hosts. A small fleet needs none, since every host there sends its record to all others.
    fn pick_heartbeats(&mut self, now: Instant) -> Vec<HostHeartbeat> {
        if !self.is_large_fleet() {
            return Vec::new();
        }
        let owners: BTreeSet<String> = self.owner_hosts(now).map(String::from).collect();
        let silence_timeout = self.silence_timeout();
        let live = self.rows.values();
        let live = live.filter(|row| row.age(now) < silence_timeout);
        let (of_owners, others): (Vec<_>, Vec<_>) =
            live.partition(|row| owners.contains(&row.record.host));
        let other_count = self.settings.max_heartbeats.saturating_sub(of_owners.len());
        let others = others.choose_multiple(&mut self.random, other_count);
        let named = of_owners.iter().chain(others);
        named.map(|row| row.heartbeat(now)).collect()
    }

    /// Chooses the addresses that get the message of the round: peers, seeds at which no live host
    /// is known, the other hosts that can own shards if this one can, and extra recipients.
    fn pick_recipients(&mut self, now: Instant) -> Vec<SocketAddr> {
        let silence_timeout = self.silence_timeout();
        let known: Vec<_> = self.rows.values().map(|row| row.record.peers).collect();
        let live = self.rows.values();
        let live = live.filter(|row| row.age(now) < silence_timeout);
        let live: BTreeSet<_> = live.map(|row| row.record.peers).collect();
        let fan_out = match self.is_large_fleet() {
            true => self.settings.fan_out,
            false => known.len(),
        };
        let mut recipients: Vec<_> = known
            .choose_multiple(&mut self.random, fan_out)
            .copied()
            .collect();
        recipients.extend(self.fellow_owners(now));
        let is_starting = self.round_count < SEED_CONTACT_ROUNDS;
        if is_starting
            || self
                .round_count
                .is_multiple_of(self.settings.seed_interval_rounds)
        {
            let missing_seeds = self.seeds.iter().filter(|seed| !live.contains(seed));
            recipients.extend(missing_seeds);
        }
        // Drops the remaining addresses; a heartbeat of a process that is still unknown adds its
        // address again.
        let extra: Vec<SocketAddr> = std::mem::take(&mut self.extra_recipients)
            .into_iter()
            .collect();
        recipients.extend(extra.choose_multiple(&mut self.random, MAX_EXTRA_RECIPIENTS));
        recipients.sort_unstable();
        recipients.dedup();
        recipients
    }

    /// Returns the addresses of the other hosts that can own shards, or none if this host can't.
    fn fellow_owners(&self, now: Instant) -> Vec<SocketAddr> {
        let owners: Vec<&str> = self.owner_hosts(now).collect();
        if !owners.contains(&self.own.host.as_str()) {
            return Vec::new();
        }
        let rows = owners.iter().filter_map(|host| self.rows.get(*host));
        rows.map(|row| row.record.peers).collect()
    }

    /// Returns the record of this host and the relayed ones, with their ages.
    fn pick_records(&mut self, now: Instant) -> Vec<AgedHostRecord> {
        let own = AgedHostRecord {
            record: self.own.clone(),
            age: std::time::Duration::ZERO,
        };
        let mut records = vec![own];
        for host in self.pick_relayed_hosts() {
            let Some(row) = self.rows.get_mut(&host) else {
                continue;
            };
            row.relay_count += 1;
            records.push(AgedHostRecord {
                record: row.relayed_record(),
                age: row.age(now),
            });
        }
        records
    }
}
