use {
    crate::{
        MemberAction, MemberEvent, MemberTable, peer_book::PeerNews, strike_book::StrikeOrigin,
    },
    base::HostId,
    rand::Rng,
    std::time::{Duration, Instant},
    wire::{MarkSource, PeerKey, PeerMessage, PeerRumour, PeerSelf},
};

/// A process heard of directly within this time needs no probe on another's suspicion.
const FRESH: Duration = Duration::from_secs(1);

impl MemberTable {
    /// Takes in a message from the address `from`, `ip:port`.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {member::MemberAction, wire::{PeerKey, PeerMessage}};
    /// let sender = PeerKey { host: String::from("h2"), incarnation: 1 };
    /// let probe = PeerMessage::Probe { sender, nonce: 5 };
    /// let actions = table.on_datagram(probe, String::from("10.0.0.2:81"), now);
    /// assert!(matches!(&actions[0], MemberAction::Send { to, .. } if to == "10.0.0.2:81"));
    /// ```
    pub fn on_datagram(
        &mut self,
        message: PeerMessage,
        from: String,
        now: Instant,
    ) -> Vec<MemberAction> {
        match message {
            PeerMessage::Heartbeat {
                sender, rumours, ..
            } => self.on_heartbeat(sender, rumours, now),
            PeerMessage::Probe { sender, nonce } => {
                self.on_sign(&sender, now);
                let ack = PeerMessage::ProbeAck {
                    sender: self.own.key(),
                    nonce,
                };
                self.send(from, ack);
            }
            PeerMessage::ProbeAck { sender, nonce } => self.on_ack(sender, nonce, now),
            PeerMessage::FactRequest {
                sender,
                from: index,
            } => {
                self.on_sign(&sender, now);
                self.answer_facts(from, index, now);
            }
            PeerMessage::ProbeRequest {
                sender,
                about,
                address,
                nonce,
            } => {
                self.on_sign(&sender, now);
                self.on_probe_request(about, address, nonce, from, now);
            }
        }
        self.flush()
    }

    /// Every word on leaving targets, for a peer that starts.
    pub fn target_rumours(&self) -> Vec<PeerRumour> {
        let count = self.targets.len();
        (0..count)
            .filter_map(|index| self.targets.rumour(index))
            .collect()
    }

    /// Takes in a peer's words on leaving targets; anything else among them is left out.
    pub fn on_target_rumours(&mut self, words: Vec<PeerRumour>, now: Instant) -> Vec<MemberAction> {
        for word in words {
            if matches!(word, PeerRumour::TargetLeaving { .. }) {
                self.on_rumour(word, now);
            }
        }
        self.flush()
    }

    fn on_heartbeat(&mut self, sender: PeerSelf, rumours: Vec<PeerRumour>, now: Instant) {
        if sender.host == self.own.host {
            self.on_namesake(sender.incarnation);
            return;
        }
        let news = self.peers.on_report(&sender, true, now);
        self.probes.heard(&sender.host);
        self.note_news(&sender, news, now);
        self.note_sheet(&sender);
        for rumour in rumours {
            self.on_rumour(rumour, now);
        }
    }

    fn on_namesake(&mut self, incarnation: u64) {
        if incarnation > self.own.incarnation {
            self.changed(MemberEvent::SelfSuperseded { incarnation });
        }
    }

    fn on_sign(&mut self, key: &PeerKey, now: Instant) {
        if key.host == self.own.host {
            self.on_namesake(key.incarnation);
            return;
        }
        let news = self.peers.on_sign(key, now);
        self.probes.heard(&key.host);
        let about = self.peers.get(&key.host).map(|record| record.about.clone());
        if let Some(about) = about {
            self.note_news(&about, news, now);
        }
    }

    fn on_ack(&mut self, sender: PeerKey, nonce: u64, now: Instant) {
        if let Some(relay) = self.probes.take_relay(nonce) {
            let ack = PeerMessage::ProbeAck {
                sender: sender.clone(),
                nonce: relay.nonce,
            };
            self.send(relay.asker, ack);
            self.on_sign(&sender, now);
        } else if self.probes.answered(nonce) {
            self.on_sign(&sender, now);
        }
    }

    fn on_probe_request(
        &mut self,
        about: HostId,
        address: String,
        nonce: u64,
        from: String,
        now: Instant,
    ) {
        let own_nonce = self.random.random();
        if about != self.own.host && self.probes.relay(own_nonce, &from, nonce, now) {
            let probe = PeerMessage::Probe {
                sender: self.own.key(),
                nonce: own_nonce,
            };
            self.send(address, probe);
        }
    }

    fn on_rumour(&mut self, rumour: PeerRumour, now: Instant) {
        match &rumour {
            PeerRumour::Member(about) => self.on_member_rumour(about, now),
            PeerRumour::HostLeaving(key) => self.on_leaving_rumour(key, rumour.clone()),
            PeerRumour::HostSuspect(key) => self.on_suspect_rumour(key, now),
            PeerRumour::HostRevived(key) => {
                let record = self.peers.get(&key.host);
                if record.is_some_and(|record| record.is_suspect()) {
                    self.probes.wait(&key.host);
                }
            }
            PeerRumour::TargetLeaving { target, source, .. } => {
                let (target, source) = (target.clone(), *source);
                self.on_target_rumour(&target, source, rumour, now);
            }
            PeerRumour::Strike { .. } | PeerRumour::StrikesCleared { .. } => {
                self.absorb_strike(rumour, StrikeOrigin::Peer, now);
            }
        }
    }

    fn on_member_rumour(&mut self, about: &PeerSelf, now: Instant) {
        if about.host == self.own.host {
            self.on_namesake(about.incarnation);
            return;
        }
        let news = self.peers.on_report(about, false, now);
        if news.fresh {
            self.pulls.learned();
        }
        self.note_news(about, news, now);
    }

    fn on_leaving_rumour(&mut self, key: &PeerKey, rumour: PeerRumour) {
        if key.host == self.own.host {
            if key.incarnation >= self.own.incarnation {
                self.told_leaving();
            }
            return;
        }
        let leaving = |table: &Self| {
            let record = table.peers.get(&key.host);
            record.is_some_and(|record| record.is_leaving())
        };
        let was = leaving(self);
        if self.peers.on_leaving(key) {
            self.tell(rumour, None);
        }
        if !was && leaving(self) {
            self.changed(MemberEvent::Leaving {
                host: key.host.clone(),
                incarnation: key.incarnation,
            });
        }
    }

    /// Another's suspicion is only a reason to look for oneself.
    fn on_suspect_rumour(&mut self, key: &PeerKey, now: Instant) {
        let Some(record) = self.peers.get(&key.host) else {
            return;
        };
        let fresh = record
            .heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < FRESH);
        let concerned = record.about.incarnation <= key.incarnation;
        if concerned && !fresh && !record.is_suspect() {
            self.probes.wait(&key.host);
        }
    }

    fn on_target_rumour(
        &mut self,
        target: &str,
        source: MarkSource,
        rumour: PeerRumour,
        now: Instant,
    ) {
        let was = self.targets.is_leaving(target);
        if self.targets.absorb(&rumour, now) {
            self.pulls.learned();
            self.tell(rumour, None);
        }
        self.note_target(target, source, was);
    }

    pub(crate) fn absorb_strike(&mut self, rumour: PeerRumour, origin: StrikeOrigin, now: Instant) {
        if let Some(expires) = self.strikes.absorb(&rumour, origin, now) {
            self.tell(rumour, Some(expires));
        }
    }

    fn note_news(&mut self, about: &PeerSelf, news: PeerNews, now: Instant) {
        let key = about.key();
        if news.fresh || news.revived {
            self.changed(MemberEvent::Live {
                host: key.host.clone(),
                incarnation: key.incarnation,
            });
        }
        if news.fresh && news.unlisted {
            self.tell(PeerRumour::Member(about.clone()), None);
        }
        if news.revived {
            self.tell(PeerRumour::HostRevived(key.clone()), None);
            self.replay(now);
        }
        if news.leaving {
            self.tell(PeerRumour::HostLeaving(key.clone()), None);
            self.changed(MemberEvent::Leaving {
                host: key.host,
                incarnation: key.incarnation,
            });
        }
    }

    fn note_sheet(&mut self, sender: &PeerSelf) {
        let seen = (sender.sheet_version, sender.sheet_digest);
        let (version, digest) = self.latest_sheet;
        let conflict = seen.0 == version && seen.1 != digest;
        if seen.0 > 0 && (seen.0 > version || conflict) {
            self.latest_sheet = self.latest_sheet.max(seen);
            self.changed(MemberEvent::SheetSeen {
                host: sender.host.clone(),
                version: seen.0,
                digest: seen.1,
            });
        }
    }
}
