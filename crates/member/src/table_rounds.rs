use {
    crate::{
        MemberAction, MemberEvent, MemberTable, probe_desk::Probe, rumour_buffer::with_remaining,
    },
    rand::{
        Rng,
        seq::{IteratorRandom, SliceRandom},
    },
    std::time::{Duration, Instant},
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES, PeerKey, PeerMessage, PeerRumour},
};

/// Longest heartbeat in an idle round, in bytes.
const IDLE_BYTES: usize = 280;
/// Longest heartbeat in a hot round, in bytes; it carries news only.
const HOT_BYTES: usize = 600;
/// Bytes kept free for the length of the list of rumours.
const LIST_BYTES: usize = 4;
/// Time between probes out of turn.
const WAITING_INTERVAL: Duration = Duration::from_millis(100);
/// Members asked to help with a probe out of turn, since another member's probes failed before.
const WAITING_HELPERS: usize = 1;
/// Transmissions of each suspicion for every doubling of the fleet.
const SUSPECT_FACTOR: u32 = 2;
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Time between clean-ups.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between replays of what a returning peer may have missed.
const REPLAY_INTERVAL: Duration = Duration::from_secs(2);
/// Most suspects that each heartbeat names beside its news.
const SUSPECT_FILLERS: usize = 3;
/// Bytes that they may take.
const SUSPECT_BYTES: usize = 80;
/// Most facts that are looked at to fill one heartbeat.
const MAX_FILLERS: usize = 64;
/// Most words on targets that one replay puts into circulation.
const MAX_REPLAY: usize = 256;

impl MemberTable {
    /// Does what is due: heartbeats, probes, suspicions and clean-up.
    pub fn on_tick(&mut self, now: Instant) -> Vec<MemberAction> {
        self.check_pause(now);
        self.end_probes(now);
        self.start_probes(now);
        self.start_round(now);
        self.pull_facts(now);
        self.clean_up(now);
        self.note_doubt();
        self.flush()
    }

    /// When the next tick is due, at the latest.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        let round = self.pace.next_round(self.round_interval(now));
        let probe = self.last_probe.map(|last| last + self.settings.probe_round);
        let waiting = self.last_waiting.map(|last| last + WAITING_INTERVAL);
        let waiting = waiting.filter(|_| self.probes.has_waiting());
        let listen = self.listen_until.filter(|until| *until > now);
        let probing = [probe, waiting, self.probes.next_deadline()];
        let earliest = match listen {
            Some(until) => Some(until),
            None => probing.into_iter().flatten().min(),
        };
        let pull = self.pulls.next_due();
        [round, earliest, pull]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now)
    }

    /// A process that stood still has missed answers, and must not take silence for death.
    fn check_pause(&mut self, now: Instant) {
        let last = self.last_tick.replace(now);
        let pause = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        if pause > self.settings.lease {
            self.probes.reset();
            self.listen_until = Some(now + self.settings.listen);
            self.changed(MemberEvent::Paused { pause });
        }
    }

    fn is_listening(&self, now: Instant) -> bool {
        self.listen_until.is_some_and(|until| until > now)
    }

    fn end_probes(&mut self, now: Instant) {
        for (nonce, probe) in self.probes.overdue(now) {
            if !probe.indirect {
                self.ask_helpers(nonce, probe, now);
            } else if probe.failures + 1 < self.settings.probe_attempts {
                self.probe(probe.key, probe.helpers, probe.failures + 1, now);
            } else {
                self.suspect(probe.key, now);
            }
        }
    }

    fn ask_helpers(&mut self, nonce: u64, probe: Probe, now: Instant) {
        let Some(record) = self.peers.get(&probe.key.host) else {
            return;
        };
        let address = record.about.peers.clone();
        for helper in self.pick_helpers(probe.helpers, &probe.key.host) {
            let request = PeerMessage::ProbeRequest {
                sender: self.own.key(),
                about: probe.key.host.clone(),
                address: address.clone(),
                nonce,
            };
            self.send(helper, request);
        }
        let probe = Probe {
            indirect: true,
            deadline: now + self.settings.indirect_timeout,
            ..probe
        };
        self.probes.open(nonce, probe);
    }

    fn suspect(&mut self, key: PeerKey, now: Instant) {
        if !self.peers.suspect(&key, now) {
            return;
        }
        if !self.peers.is_doubtful() {
            self.tell(PeerRumour::HostSuspect(key.clone()), None);
        }
        self.changed(MemberEvent::Suspect {
            host: key.host,
            incarnation: key.incarnation,
        });
    }

    fn start_probes(&mut self, now: Instant) {
        if self.is_listening(now) {
            return;
        }
        if is_due(self.last_probe, self.settings.probe_round, now) {
            self.last_probe = Some(now);
            self.probe_next(now);
            self.probe_suspect(now);
        }
        if self.probes.has_waiting() && is_due(self.last_waiting, WAITING_INTERVAL, now) {
            self.last_waiting = Some(now);
            self.probe_waiting(now);
        }
    }

    /// Probes a host that others suspect or found again, if the bytes allow it.
    fn probe_waiting(&mut self, now: Instant) {
        if !self.pace.may_send(&self.settings, now) {
            return;
        }
        if let Some(host) = self.probes.next_waiting() {
            self.probe_host(&host, WAITING_HELPERS, now);
        }
    }

    /// Probes every peer in turn, in a new random order each time.
    fn probe_next(&mut self, now: Instant) {
        if self.probe_order.is_empty() {
            let records = self.peers.records();
            self.probe_order = records.map(|record| record.about.host.clone()).collect();
            self.probe_order.shuffle(&mut self.random);
        }
        if let Some(host) = self.probe_order.pop() {
            self.probe_host(&host, self.settings.probe_helpers, now);
        }
    }

    /// Probes a random suspect, which may be back.
    fn probe_suspect(&mut self, now: Instant) {
        let picked = self.peers.suspects().iter().choose(&mut self.random);
        if let Some(host) = picked.cloned() {
            self.probe_host(&host, 0, now);
        }
    }

    fn probe_host(&mut self, host: &str, helpers: usize, now: Instant) {
        if self.probes.is_probing(host) {
            return;
        }
        if let Some(record) = self.peers.get(host) {
            self.probe(record.about.key(), helpers, 0, now);
        }
    }

    fn probe(&mut self, key: PeerKey, helpers: usize, failures: u32, now: Instant) {
        let Some(record) = self.peers.get(&key.host) else {
            return;
        };
        let address = record.about.peers.clone();
        let nonce = self.random.random();
        let probe = Probe {
            key,
            indirect: false,
            helpers,
            failures,
            deadline: now + self.settings.direct_timeout,
        };
        if self.probes.open(nonce, probe) {
            let sender = self.own.key();
            self.send(address, PeerMessage::Probe { sender, nonce });
        }
    }

    fn round_interval(&self, now: Instant) -> Duration {
        if self.pace.is_hot(now) || !self.rumours.is_empty() {
            self.settings.hot_round
        } else {
            self.settings.idle_round
        }
    }

    fn start_round(&mut self, now: Instant) {
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

    /// Addresses of random peers; suspects are among them, since they may be back.
    fn pick_peers(&mut self, count: usize) -> Vec<String> {
        let records = self.peers.records();
        let mut addresses: Vec<_> = records.map(|record| &record.about.peers).collect();
        if addresses.is_empty() {
            addresses = self.settings.seeds.iter().collect();
        }
        let (picked, _) = addresses.partial_shuffle(&mut self.random, count);
        picked.iter().map(|address| address.to_string()).collect()
    }

    /// Addresses of random peers that are no suspects and can probe another.
    fn pick_helpers(&mut self, count: usize, other: &str) -> Vec<String> {
        let records = self.peers.records().filter(|record| !record.is_suspect());
        let helpers = records.filter(|record| record.about.host != other);
        let mut addresses: Vec<_> = helpers.map(|record| &record.about.peers).collect();
        let (picked, _) = addresses.partial_shuffle(&mut self.random, count);
        picked.iter().map(|address| address.to_string()).collect()
    }

    /// Asks a random peer for what it knows, from its words on targets on at first.
    fn pull_facts(&mut self, now: Instant) {
        let first = self.pulls.is_first();
        if !self.pulls.start(now) {
            return;
        }
        let from = if first { 0 } else { self.random.random() };
        for to in self.pick_peers(1) {
            let sender = self.own.key();
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
            let key = record.map(|record| record.about.key());
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
            return Some(PeerRumour::HostLeaving(PeerKey {
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

    fn clean_up(&mut self, now: Instant) {
        if !is_due(self.last_prune, PRUNE_INTERVAL, now) {
            return;
        }
        self.last_prune = Some(now);
        self.strikes.prune(now);
        self.targets.prune(now);
        self.peers.settle(self.settings.live_hold, now);
        let before = self.targets.leaving();
        let rumours = self.targets.settle(self.settings.live_hold, now);
        self.tell_all(rumours);
        self.note_targets(before, wire::MarkSource::HostList);
        for host in self.peers.forget(self.settings.forget_after, now) {
            self.changed(MemberEvent::Gone { host });
        }
    }

    fn note_doubt(&mut self) {
        let doubting = self.peers.is_doubtful();
        if std::mem::replace(&mut self.doubting, doubting) != doubting {
            self.changed(if doubting {
                MemberEvent::ViewDoubted
            } else {
                MemberEvent::ViewTrusted
            });
        }
    }

    /// Passes news on as often as it takes to reach everyone.
    pub(crate) fn tell(&mut self, rumour: PeerRumour, expires: Option<Instant>) {
        let doublings = (self.peers.len() + 1).ilog2() + 1;
        // Whoever finds the same says it again, so that these need fewer repeats.
        let factor = match rumour {
            PeerRumour::HostSuspect(_) | PeerRumour::HostRevived(_) => SUSPECT_FACTOR,
            _ => self.settings.rumour_factor,
        };
        self.rumours.push(rumour, factor * doublings, expires);
    }

    pub(crate) fn tell_all(&mut self, rumours: Vec<PeerRumour>) {
        for rumour in rumours {
            self.tell(rumour, None);
        }
    }

    pub(crate) fn send(&mut self, to: String, message: PeerMessage) {
        self.pace
            .spend(DatagramSeal::sealed_bytes(&message) + HEADER_BYTES);
        self.outbox.push(MemberAction::Send { to, message });
    }
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}
