use {
    crate::{MemberTable, rumour_buffer::with_remaining, table_rounds::is_due},
    rand::{
        Rng,
        seq::{IteratorRandom, SliceRandom},
    },
    std::time::{Duration, Instant},
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES, PeerIdentity, PeerMessage, PeerRumour},
};

/// Longest heartbeat in an idle round, in bytes.
const IDLE_BYTES: usize = 280;
/// Longest heartbeat in a hot round, in bytes; it carries news only.
const HOT_BYTES: usize = 600;
/// Bytes kept free for the length of the list of rumours.
const LIST_BYTES: usize = 4;
/// Most suspects that each heartbeat names beside its news.
const SUSPECT_FILLERS: usize = 3;
/// Bytes that they may take.
const SUSPECT_BYTES: usize = 80;
/// Most facts that are looked at to fill one heartbeat.
const MAX_FILLERS: usize = 64;
/// Time between replays of what a returning peer may have missed.
const REPLAY_INTERVAL: Duration = Duration::from_secs(2);
/// Most words on targets that one replay puts into circulation.
const MAX_REPLAY: usize = 256;

impl MemberTable {
    pub(crate) fn round_interval(&self, now: Instant) -> Duration {
        if self.pace.is_hot(now) || !self.rumours.is_empty() {
            self.settings.hot_round
        } else {
            self.settings.idle_round
        }
    }

    pub(crate) fn start_round(&mut self, now: Instant) {
        let interval = self.round_interval(now);
        if self.pace.next_round(interval).is_some_and(|due| due > now) {
            return;
        }
        self.pace.start_round(now);
        let hot = interval == self.settings.hot_round;
        let (fan_out, bytes) = if hot {
            (self.settings.hot_fan_out, HOT_BYTES)
        } else {
            (self.settings.idle_fan_out, IDLE_BYTES)
        };
        for to in self.pick_peers(fan_out) {
            if self.pace.may_send(&self.settings, now) {
                self.send_heartbeat(to, bytes, now);
            }
        }
    }

    /// Addresses of random peers; suspects are among them, since they may be back. While no peer
    /// answers, the seeds are tried as well: a stale list may name only old addresses.
    fn pick_peers(&mut self, count: usize) -> Vec<String> {
        let records = self.peers.records();
        let mut addresses: Vec<_> = records.map(|record| record.about.peers.clone()).collect();
        let (picked, _) = addresses.partial_shuffle(&mut self.random, count);
        let mut picked = picked.to_vec();
        if self.is_unheard() {
            let mut seeds = self.settings.seeds.clone();
            let (tried, _) = seeds.partial_shuffle(&mut self.random, count);
            picked.extend_from_slice(tried);
        }
        picked
    }

    /// True if no peer is known to answer.
    fn is_unheard(&self) -> bool {
        let mut records = self.peers.records();
        !records.any(|record| record.heard.is_some() && !record.is_suspect())
    }

    /// Asks a random peer for what it knows, from its words on targets on at first.
    pub(crate) fn pull_facts(&mut self, now: Instant) {
        let first = self.pulls.is_first();
        if !self.pulls.start(now) {
            return;
        }
        let from = if first { 0 } else { self.random.random() };
        for to in self.pick_peers(1) {
            let sender = self.own.identity();
            self.send(to, PeerMessage::FactRequest { sender, from });
        }
    }

    /// Answers such a request, if the bytes allow it.
    pub(crate) fn answer_facts(&mut self, to: String, from: u32, now: Instant) {
        let count = self.fact_count().max(1);
        self.filler_cursor = usize::try_from(from).unwrap_or_default() % count;
        if self.pace.may_send(&self.settings, now) {
            self.send_heartbeat(to, MAX_DATAGRAM_BYTES, now);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, to: String, limit: usize, now: Instant) {
        let bare = self.heartbeat(Vec::new());
        let base = DatagramSeal::sealed_bytes(&bare) + LIST_BYTES;
        let mut room = limit.min(MAX_DATAGRAM_BYTES).saturating_sub(base);
        let mut rumours = self.rumours.take(room.saturating_sub(SUSPECT_BYTES), now);
        self.add_suspects(&mut rumours);
        let used: usize = rumours.iter().map(PeerRumour::encoded_bytes).sum();
        if limit != HOT_BYTES {
            room = room.saturating_sub(used);
            self.fill(&mut rumours, room, now);
        }
        let message = self.heartbeat(rumours);
        self.send(to, message);
    }

    fn heartbeat(&self, rumours: Vec<PeerRumour>) -> PeerMessage {
        PeerMessage::Heartbeat {
            sender: self.own.clone(),
            stamp: Default::default(),
            rumours,
        }
    }

    /// Names some suspects in each heartbeat, for peers that the first word of them missed.
    fn add_suspects(&mut self, rumours: &mut Vec<PeerRumour>) {
        if self.doubting {
            return;
        }
        let suspects = self.peers.suspects().iter();
        let mut used = 0;
        for host in suspects.choose_multiple(&mut self.random, SUSPECT_FILLERS) {
            let record = self.peers.get(host);
            let key = record.map(|record| record.about.identity());
            if let Some(rumour) = key.map(PeerRumour::HostSuspect) {
                used += rumour.encoded_bytes();
                if used <= SUSPECT_BYTES && !rumours.contains(&rumour) {
                    rumours.push(rumour);
                }
            }
        }
    }

    /// Uses room that is left for old facts in turn, for peers that missed them.
    fn fill(&mut self, rumours: &mut Vec<PeerRumour>, mut room: usize, now: Instant) {
        let count = self.fact_count();
        for _ in 0..count.min(MAX_FILLERS) {
            let Some(fact) = self.fact(self.filler_cursor % count, now) else {
                self.filler_cursor = self.filler_cursor.wrapping_add(1);
                continue;
            };
            let bytes = fact.encoded_bytes();
            if bytes > room && !rumours.is_empty() {
                break;
            }
            self.filler_cursor = self.filler_cursor.wrapping_add(1);
            if bytes <= room && !rumours.contains(&fact) {
                room -= bytes;
                rumours.push(fact);
            }
        }
    }

    /// Number of facts that a peer may have missed.
    fn fact_count(&self) -> usize {
        self.targets.len() + self.strikes.len() + self.peers.len()
    }

    /// One of the facts, if it is worth telling.
    fn fact(&self, index: usize, now: Instant) -> Option<PeerRumour> {
        if index < self.targets.len() {
            return self.targets.rumour(index);
        }
        let index = index - self.targets.len();
        if index < self.strikes.len() {
            let (strike, expires) = self.strikes.rumour(index)?;
            return Some(with_remaining(&strike, Some(expires), now));
        }
        let index = index - self.strikes.len();
        let record = self.peers.records().nth(index)?;
        if record.is_bound_leaving() {
            return Some(PeerRumour::HostLeaving(PeerIdentity {
                host: record.about.host.clone(),
                incarnation: record.leaving_up_to,
            }));
        }
        let known = record.about.incarnation > 0 && !record.is_suspect();
        known.then(|| PeerRumour::Member(record.about.clone()))
    }

    /// Puts words on targets into circulation again, for peers that were cut off.
    pub(crate) fn replay(&mut self, now: Instant) {
        if !is_due(self.last_replay, REPLAY_INTERVAL, now) {
            return;
        }
        self.last_replay = Some(now);
        let count = self.targets.len().min(MAX_REPLAY);
        let rumours = (0..count).filter_map(|index| self.targets.rumour(index));
        self.tell_all(rumours.collect());
    }
}
