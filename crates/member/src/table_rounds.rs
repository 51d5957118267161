use {
    crate::{MemberAction, MemberEvent, MemberTable},
    std::time::{Duration, Instant},
    wire::{DatagramSeal, MarkSource, PeerMessage, PeerRumour},
};

/// Transmissions of each suspicion for every doubling of the fleet.
const SUSPECT_FACTOR: u32 = 2;
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Time between clean-ups.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between probes out of turn.
pub(crate) const WAITING_INTERVAL: Duration = Duration::from_millis(100);

impl MemberTable {
    /// Does what is due: heartbeats, probes, suspicions and clean-up.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// table.on_tick(now);
    /// let wakeup = table.next_wakeup(now);
    /// assert!(wakeup > now && wakeup <= now + Duration::from_secs(1));
    /// ```
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

    /// When the next tick is due, at the latest; any other call may bring it forward.
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

    pub(crate) fn is_listening(&self, now: Instant) -> bool {
        self.listen_until.is_some_and(|until| until > now)
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
        self.note_targets(before, MarkSource::HostList);
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

/// True if so much time has passed since the last time, or there was none.
pub(crate) fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}
