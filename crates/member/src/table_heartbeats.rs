use {
    crate::{MemberTable, rumour_buffer::with_remaining_time, table_rounds::is_due},
    rand::{
        Rng,
        seq::{IteratorRandom, SliceRandom},
    },
    std::time::{Duration, Instant},
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES, PeerIdentity, PeerMessage, PeerRumour},
};

/// Size limit of a heartbeat in an idle round.
const MAX_IDLE_BYTES: usize = 280;
/// Size limit of a heartbeat in a hot round, which carries rumours but no older facts.
const MAX_HOT_BYTES: usize = 600;
/// Bytes reserved for the encoded number of rumours.
const RUMOUR_COUNT_BYTES: usize = 4;
/// Limit of the suspects that each heartbeat names besides its rumours.
const MAX_ADDED_SUSPECTS: usize = 3;
/// Limit of the bytes that those suspects take.
const MAX_SUSPECT_BYTES: usize = 80;
/// Limit of the facts that are considered to fill one heartbeat.
const MAX_SCANNED_FACTS: usize = 64;
/// Shortest time between two replays of target marks that a returning peer may have missed.
const REPLAY_INTERVAL: Duration = Duration::from_secs(2);
/// Limit of the target marks that one replay queues.
const MAX_REPLAYED_MARKS: usize = 256;

impl MemberTable {
    /// Returns the time between rounds: short while there is news to send.
    pub(crate) fn round_interval(&self, now: Instant) -> Duration {
        if self.pace.is_hot(now) || !self.rumours.is_empty() {
            self.settings.hot_round
        } else {
            self.settings.idle_round
        }
    }

    /// Sends heartbeats to random peers if a round is due.
    pub(crate) fn start_round(&mut self, now: Instant) {
        let interval = self.round_interval(now);
        if self.pace.next_round(interval).is_some_and(|due| due > now) {
            return;
        }
        self.pace.start_round(now);
        let is_hot = interval == self.settings.hot_round;
        let (fan_out, bytes) = if is_hot {
            (self.settings.hot_fan_out, MAX_HOT_BYTES)
        } else {
            (self.settings.idle_fan_out, MAX_IDLE_BYTES)
        };
        for to in self.pick_peers(fan_out) {
            if self.pace.may_send(&self.settings, now) {
                self.send_heartbeat(to, bytes, now);
            }
        }
    }

    /// Returns addresses of random peers, suspects included, since they may be back. While no peer
    /// answers, random seeds are added: a stale host list may name only old addresses.
    fn pick_peers(&mut self, count: usize) -> Vec<String> {
        let records = self.peers.records();
        let mut addresses: Vec<_> = records
            .map(|record| record.description.peers.clone())
            .collect();
        let (picked, _) = addresses.partial_shuffle(&mut self.random, count);
        let mut picked = picked.to_vec();
        if self.is_isolated() {
            let mut seeds = self.settings.seeds.clone();
            let (picked_seeds, _) = seeds.partial_shuffle(&mut self.random, count);
            picked.extend_from_slice(picked_seeds);
        }
        picked
    }

    /// True if no peer is known to answer.
    fn is_isolated(&self) -> bool {
        let mut records = self.peers.records();
        !records.any(|record| record.last_contact.is_some() && !record.is_suspect())
    }

    /// Asks a random peer for its facts if a pull is due. The first pull starts at fact 0, where the
    /// target marks are, and later ones at a random fact.
    pub(crate) fn pull_facts(&mut self, now: Instant) {
        let is_first = self.pulls.is_first_pull();
        if !self.pulls.start_if_due(now) {
            return;
        }
        let from = if is_first { 0 } else { self.random.random() };
        for to in self.pick_peers(1) {
            let sender = self.own.identity();
            self.send(to, PeerMessage::FactRequest { sender, from });
        }
    }

    /// Answers a peer's request for facts, if the byte budget allows it.
    pub(crate) fn answer_fact_request(&mut self, to: String, from: u32, now: Instant) {
        let count = self.fact_count().max(1);
        self.fact_cursor = usize::try_from(from).unwrap_or_default() % count;
        if self.pace.may_send(&self.settings, now) {
            self.send_heartbeat(to, MAX_DATAGRAM_BYTES, now);
        }
    }

    /// Sends a heartbeat of at most `byte_limit` bytes.
    pub(crate) fn send_heartbeat(&mut self, to: String, byte_limit: usize, now: Instant) {
        let empty_heartbeat = self.build_heartbeat(Vec::new());
        let base_bytes = DatagramSeal::sealed_bytes(&empty_heartbeat) + RUMOUR_COUNT_BYTES;
        let mut room_bytes = byte_limit
            .min(MAX_DATAGRAM_BYTES)
            .saturating_sub(base_bytes);
        let mut rumours = self
            .rumours
            .take_for_datagram(room_bytes.saturating_sub(MAX_SUSPECT_BYTES), now);
        self.add_suspects(&mut rumours);
        let used_bytes: usize = rumours.iter().map(PeerRumour::encoded_bytes).sum();
        if byte_limit != MAX_HOT_BYTES {
            room_bytes = room_bytes.saturating_sub(used_bytes);
            self.add_facts(&mut rumours, room_bytes, now);
        }
        let message = self.build_heartbeat(rumours);
        self.send(to, message);
    }

    fn build_heartbeat(&self, rumours: Vec<PeerRumour>) -> PeerMessage {
        PeerMessage::Heartbeat {
            sender: self.own.clone(),
            stamp: Default::default(),
            rumours,
        }
    }

    /// Adds some suspects to each heartbeat, for peers that missed the rumour about them.
    fn add_suspects(&mut self, rumours: &mut Vec<PeerRumour>) {
        if self.is_view_doubted {
            return;
        }
        let suspects = self.peers.suspects().iter();
        let mut used_bytes = 0;
        for host in suspects.choose_multiple(&mut self.random, MAX_ADDED_SUSPECTS) {
            let record = self.peers.get(host);
            let key = record.map(|record| record.description.identity());
            if let Some(rumour) = key.map(PeerRumour::HostSuspect) {
                used_bytes += rumour.encoded_bytes();
                if used_bytes <= MAX_SUSPECT_BYTES && !rumours.contains(&rumour) {
                    rumours.push(rumour);
                }
            }
        }
    }

    /// Fills the remaining `room_bytes` with known facts in turn, for peers that missed them.
    fn add_facts(&mut self, rumours: &mut Vec<PeerRumour>, mut room_bytes: usize, now: Instant) {
        let count = self.fact_count();
        for _ in 0..count.min(MAX_SCANNED_FACTS) {
            let Some(fact) = self.fact_at(self.fact_cursor % count, now) else {
                self.fact_cursor = self.fact_cursor.wrapping_add(1);
                continue;
            };
            let bytes = fact.encoded_bytes();
            if bytes > room_bytes && !rumours.is_empty() {
                break;
            }
            self.fact_cursor = self.fact_cursor.wrapping_add(1);
            if bytes <= room_bytes && !rumours.contains(&fact) {
                room_bytes -= bytes;
                rumours.push(fact);
            }
        }
    }

    /// Returns the number of facts: target marks, struck fingerprints and peers, in this order.
    fn fact_count(&self) -> usize {
        self.targets.len() + self.strikes.len() + self.peers.len()
    }

    /// Returns the fact at `index`; `None` for a fingerprint without strikes, and for a peer that is
    /// a suspect or known only from the host list.
    fn fact_at(&self, index: usize, now: Instant) -> Option<PeerRumour> {
        if index < self.targets.len() {
            return self.targets.rumour_at(index);
        }
        let index = index - self.targets.len();
        if index < self.strikes.len() {
            let (strike, expires) = self.strikes.latest_strike_rumour(index)?;
            return Some(with_remaining_time(&strike, Some(expires), now));
        }
        let index = index - self.strikes.len();
        let record = self.peers.records().nth(index)?;
        if record.is_incarnation_leaving() {
            return Some(PeerRumour::HostLeaving(PeerIdentity {
                host: record.description.host.clone(),
                incarnation: record.leaving_up_to,
            }));
        }
        let is_confirmed = record.description.incarnation > 0 && !record.is_suspect();
        is_confirmed.then(|| PeerRumour::Member(record.description.clone()))
    }

    /// Queues the target marks again as rumours, for peers that were cut off.
    pub(crate) fn replay_target_marks(&mut self, now: Instant) {
        if !is_due(self.last_replay, REPLAY_INTERVAL, now) {
            return;
        }
        self.last_replay = Some(now);
        let count = self.targets.len().min(MAX_REPLAYED_MARKS);
        let rumours = (0..count).filter_map(|index| self.targets.rumour_at(index));
        self.queue_rumours(rumours.collect());
    }
}
