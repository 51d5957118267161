use {
    crate::{
        MemberAction, MemberEvent, MemberTable, probe_desk::Probe, rumour_buffer::with_remaining,
    },
    rand::{Rng, seq::SliceRandom},
    std::time::{Duration, Instant},
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES, PeerKey, PeerMessage, PeerRumour},
};

/// Longest heartbeat in an idle round, in bytes.
const IDLE_BYTES: usize = 280;
/// Longest heartbeat in a hot round, in bytes.
const HOT_BYTES: usize = 480;
/// Bytes kept free for the length of the list of rumours.
const LIST_BYTES: usize = 4;
/// Time between probes out of turn.
const WAITING_INTERVAL: Duration = Duration::from_millis(100);
/// Time between clean-ups.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between replays of what a returning peer may have missed.
const REPLAY_INTERVAL: Duration = Duration::from_secs(2);
/// Most words on targets that one replay puts into circulation.
const MAX_REPLAY: usize = 256;

impl MemberTable {
    /// Does what is due: heartbeats, probes, suspicions and clean-up.
    pub fn on_tick(&mut self, now: Instant) -> Vec<MemberAction> {
        self.check_pause(now);
        self.end_probes(now);
        self.start_probes(now);
        self.start_round(now);
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
        [round, earliest].into_iter().flatten().min().unwrap_or(now)
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
                self.probe(probe.key, probe.failures + 1, now);
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
        for helper in self.pick_peers(self.settings.probe_helpers, Some(&probe.key.host)) {
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
        }
        if self.probes.has_waiting() && is_due(self.last_waiting, WAITING_INTERVAL, now) {
            self.last_waiting = Some(now);
            if let Some(host) = self.probes.next_waiting() {
                self.probe_host(&host, now);
            }
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
            self.probe_host(&host, now);
        }
    }

    fn probe_host(&mut self, host: &str, now: Instant) {
        if self.probes.is_probing(host) {
            return;
        }
        if let Some(record) = self.peers.get(host) {
            self.probe(record.about.key(), 0, now);
        }
    }

    fn probe(&mut self, key: PeerKey, failures: u32, now: Instant) {
        let Some(record) = self.peers.get(&key.host) else {
            return;
        };
        let address = record.about.peers.clone();
        let nonce = self.random.random();
        let probe = Probe {
            key,
            indirect: false,
            failures,
            deadline: now + self.settings.direct_timeout,
        };
        if self.probes.open(nonce, probe) {
            let sender = self.own.key();
            self.send(address, PeerMessage::Probe { sender, nonce });
        }
    }

    fn round_interval(&self, now: Instant) -> Duration {
        if self.pace.is_hot(now) || self.rumours.is_urgent() {
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
        for to in self.pick_peers(fan_out, None) {
            if self.pace.may_send(&self.settings, now) {
                self.send_heartbeat(to, bytes, now);
            }
        }
    }

    /// Addresses of random peers; suspects are among them, since they may be back. While no peer
    /// answers, the seeds are tried as well: a stale list may name only old addresses.
    fn pick_peers(&mut self, count: usize, except: Option<&str>) -> Vec<String> {
        let records = self.peers.records();
        let others = records.filter(|record| Some(record.about.host.as_str()) != except);
        let mut addresses: Vec<_> = others.map(|record| record.about.peers.clone()).collect();
        let (picked, _) = addresses.partial_shuffle(&mut self.random, count);
        let mut picked = picked.to_vec();
        if except.is_none() && self.is_unheard() {
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

    pub(crate) fn send_heartbeat(&mut self, to: String, limit: usize, now: Instant) {
        let bare = self.heartbeat(Vec::new());
        let base = DatagramSeal::sealed_bytes(&bare) + LIST_BYTES;
        let mut room = limit.min(MAX_DATAGRAM_BYTES).saturating_sub(base);
        let mut rumours = self.rumours.take(room, now);
        let used: usize = rumours.iter().map(PeerRumour::encoded_bytes).sum();
        room -= used;
        self.fill(&mut rumours, room, now);
        let message = self.heartbeat(rumours);
        self.pace.spend(DatagramSeal::sealed_bytes(&message));
        self.send(to, message);
    }

    fn heartbeat(&self, rumours: Vec<PeerRumour>) -> PeerMessage {
        PeerMessage::Heartbeat {
            sender: self.own.clone(),
            stamp: Default::default(),
            rumours,
        }
    }

    /// Uses room that is left for old facts in turn, for peers that missed them.
    fn fill(&mut self, rumours: &mut Vec<PeerRumour>, mut room: usize, now: Instant) {
        let facts = self.facts(now);
        let mut filled = false;
        for _ in 0..facts.len() {
            let fact = &facts[self.filler_cursor % facts.len()];
            let bytes = fact.encoded_bytes();
            if bytes > room && filled {
                break;
            }
            self.filler_cursor = self.filler_cursor.wrapping_add(1);
            if bytes <= room && !rumours.contains(fact) {
                room -= bytes;
                filled = true;
                rumours.push(fact.clone());
            }
        }
    }

    /// Everything known that a peer may have missed.
    fn facts(&self, now: Instant) -> Vec<PeerRumour> {
        let mut facts = self.targets.rumours();
        facts.extend(
            self.peers
                .leaving()
                .into_iter()
                .map(PeerRumour::HostLeaving),
        );
        let strikes = self.strikes.rumours();
        facts.extend(
            strikes
                .iter()
                .map(|(strike, expires)| with_remaining(strike, Some(*expires), now)),
        );
        let known = self.peers.records();
        let serving = known.filter(|record| record.about.incarnation > 0 && !record.is_suspect());
        facts.extend(serving.map(|record| PeerRumour::Member(record.about.clone())));
        facts
    }

    /// Puts words on targets into circulation again, for peers that were cut off.
    pub(crate) fn replay(&mut self, now: Instant) {
        if !is_due(self.last_replay, REPLAY_INTERVAL, now) {
            return;
        }
        self.last_replay = Some(now);
        let rumours = self.targets.rumours().into_iter().take(MAX_REPLAY);
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
        let sends = self.settings.rumour_factor * doublings;
        self.rumours.push(rumour, sends, expires);
    }

    pub(crate) fn tell_all(&mut self, rumours: Vec<PeerRumour>) {
        for rumour in rumours {
            self.tell(rumour, None);
        }
    }

    pub(crate) fn send(&mut self, to: String, message: PeerMessage) {
        self.outbox.push(MemberAction::Send { to, message });
    }
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}
