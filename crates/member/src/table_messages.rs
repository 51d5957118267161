use {
    crate::{
        MemberAction, MemberEvent, MemberTable, peer_registry::PeerChange,
        strike_registry::StrikeOrigin,
    },
    base::HostId,
    rand::Rng,
    std::time::{Duration, Instant},
    wire::{MarkSource, PeerIdentity, PeerInfo, PeerMessage, PeerRumour},
};

/// A process that a peer suspects is not probed if a message came directly from it within this time.
const RECENT_CONTACT: Duration = Duration::from_secs(1);

impl MemberTable {
    /// Handles a message that came from the address `from`, `ip:port`.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {member::MemberAction, wire::{PeerIdentity, PeerMessage}};
    /// let sender = PeerIdentity { host: String::from("h2"), incarnation: 1 };
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
                self.on_contact(&sender, now);
                let ack = PeerMessage::ProbeAck {
                    sender: self.own.identity(),
                    nonce,
                };
                self.send(from, ack);
            }
            PeerMessage::ProbeAck { sender, nonce } => self.on_probe_ack(sender, nonce, now),
            PeerMessage::FactRequest {
                sender,
                from: index,
            } => {
                self.on_contact(&sender, now);
                self.answer_fact_request(from, index, now);
            }
            PeerMessage::ProbeRequest {
                sender,
                about,
                address,
                nonce,
            } => {
                self.on_contact(&sender, now);
                self.on_probe_request(about, address, nonce, from, now);
            }
        }
        self.take_actions()
    }

    /// Returns all statements about leaving targets as rumours, for a peer that starts.
    pub fn target_rumours(&self) -> Vec<PeerRumour> {
        let count = self.targets.len();
        (0..count)
            .filter_map(|index| self.targets.rumour_at(index))
            .collect()
    }

    /// Applies a peer's rumours about leaving targets; rumours of other kinds are ignored.
    pub fn on_target_rumours(
        &mut self,
        rumours: Vec<PeerRumour>,
        now: Instant,
    ) -> Vec<MemberAction> {
        for rumour in rumours {
            if matches!(rumour, PeerRumour::TargetLeaving { .. }) {
                self.on_rumour(rumour, now);
            }
        }
        self.take_actions()
    }

    fn on_heartbeat(&mut self, sender: PeerInfo, rumours: Vec<PeerRumour>, now: Instant) {
        if sender.host == self.own.host {
            self.check_superseded(sender.incarnation);
            return;
        }
        let change = self.peers.on_description(&sender, true, now);
        self.probes.remove_host(&sender.host);
        self.report_peer_change(&sender, change, now);
        self.report_sheet(&sender);
        for rumour in rumours {
            self.on_rumour(rumour, now);
        }
    }

    /// Reports a later process under this host's name.
    fn check_superseded(&mut self, incarnation: u64) {
        if incarnation > self.own.incarnation {
            self.report_event(MemberEvent::SelfSuperseded { incarnation });
        }
    }

    fn on_contact(&mut self, identity: &PeerIdentity, now: Instant) {
        if identity.host == self.own.host {
            self.check_superseded(identity.incarnation);
            return;
        }
        let change = self.peers.on_contact(identity, now);
        self.probes.remove_host(&identity.host);
        let description = self
            .peers
            .get(&identity.host)
            .map(|record| record.description.clone());
        if let Some(description) = description {
            self.report_peer_change(&description, change, now);
        }
    }

    fn on_probe_ack(&mut self, sender: PeerIdentity, nonce: u64, now: Instant) {
        if let Some(relay) = self.probes.take_relay(nonce) {
            let ack = PeerMessage::ProbeAck {
                sender: sender.clone(),
                nonce: relay.nonce,
            };
            self.send(relay.requester, ack);
            self.on_contact(&sender, now);
        } else if self.probes.complete_probe(nonce) {
            self.on_contact(&sender, now);
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
        if about != self.own.host && self.probes.add_relay(own_nonce, &from, nonce, now) {
            let probe = PeerMessage::Probe {
                sender: self.own.identity(),
                nonce: own_nonce,
            };
            self.send(address, probe);
        }
    }

    fn on_rumour(&mut self, rumour: PeerRumour, now: Instant) {
        match &rumour {
            PeerRumour::Member(description) => self.on_member_rumour(description, now),
            PeerRumour::HostLeaving(identity) => self.on_leaving_rumour(identity, rumour.clone()),
            PeerRumour::HostSuspect(identity) => self.on_suspect_rumour(identity, now),
            PeerRumour::HostRevived(identity) => {
                let record = self.peers.get(&identity.host);
                if record.is_some_and(|record| record.is_suspect()) {
                    self.probes.enqueue_host(&identity.host);
                }
            }
            PeerRumour::TargetLeaving { target, source, .. } => {
                let (target, source) = (target.clone(), *source);
                self.on_target_rumour(&target, source, rumour, now);
            }
            PeerRumour::Strike { .. } | PeerRumour::StrikesCleared { .. } => {
                self.apply_strike_rumour(rumour, StrikeOrigin::Peer, now);
            }
        }
    }

    fn on_member_rumour(&mut self, description: &PeerInfo, now: Instant) {
        if description.host == self.own.host {
            self.check_superseded(description.incarnation);
            return;
        }
        let change = self.peers.on_description(description, false, now);
        if change.is_new {
            self.pulls.record_news();
        }
        self.report_peer_change(description, change, now);
    }

    fn on_leaving_rumour(&mut self, identity: &PeerIdentity, rumour: PeerRumour) {
        if identity.host == self.own.host {
            if identity.incarnation >= self.own.incarnation {
                self.report_self_leaving();
            }
            return;
        }
        let is_leaving = |table: &Self| {
            let record = table.peers.get(&identity.host);
            record.is_some_and(|record| record.is_leaving())
        };
        let was_leaving = is_leaving(self);
        if self.peers.mark_leaving(identity) {
            self.queue_rumour(rumour, None);
        }
        if !was_leaving && is_leaving(self) {
            self.report_event(MemberEvent::Leaving {
                host: identity.host.clone(),
                incarnation: identity.incarnation,
            });
        }
    }

    /// Queues a probe of a process that a peer suspects. A peer's suspicion alone does not make the
    /// process a suspect here.
    fn on_suspect_rumour(&mut self, identity: &PeerIdentity, now: Instant) {
        let Some(record) = self.peers.get(&identity.host) else {
            return;
        };
        let is_recent = record.last_contact.is_some_and(|last_contact| {
            now.saturating_duration_since(last_contact) < RECENT_CONTACT
        });
        let is_current = record.description.incarnation <= identity.incarnation;
        if is_current && !is_recent && !record.is_suspect() {
            self.probes.enqueue_host(&identity.host);
        }
    }

    fn on_target_rumour(
        &mut self,
        target: &str,
        source: MarkSource,
        rumour: PeerRumour,
        now: Instant,
    ) {
        let was_leaving = self.targets.is_leaving(target);
        if self.targets.apply_rumour(&rumour, now) {
            self.pulls.record_news();
            self.queue_rumour(rumour, None);
        }
        self.report_target_change(target, source, was_leaving);
    }

    pub(crate) fn apply_strike_rumour(
        &mut self,
        rumour: PeerRumour,
        origin: StrikeOrigin,
        now: Instant,
    ) {
        if let Some(expires) = self.strikes.apply_rumour(&rumour, origin, now) {
            self.queue_rumour(rumour, Some(expires));
        }
    }

    fn report_peer_change(&mut self, description: &PeerInfo, change: PeerChange, now: Instant) {
        let identity = description.identity();
        if change.is_new || change.is_revived {
            self.report_event(MemberEvent::Live {
                host: identity.host.clone(),
                incarnation: identity.incarnation,
            });
        }
        if change.is_new && change.is_unknown_elsewhere {
            self.queue_rumour(PeerRumour::Member(description.clone()), None);
        }
        if change.is_revived {
            self.queue_rumour(PeerRumour::HostRevived(identity.clone()), None);
            self.replay_target_marks(now);
        }
        if change.is_now_leaving {
            self.queue_rumour(PeerRumour::HostLeaving(identity.clone()), None);
            self.report_event(MemberEvent::Leaving {
                host: identity.host,
                incarnation: identity.incarnation,
            });
        }
    }

    /// Reports the sender's sheet if it is later than the latest one seen, or differs from it at the
    /// same version.
    fn report_sheet(&mut self, sender: &PeerInfo) {
        let seen_sheet = (sender.sheet_version, sender.sheet_digest);
        let (version, digest) = self.latest_sheet;
        let is_conflict = seen_sheet.0 == version && seen_sheet.1 != digest;
        if seen_sheet.0 > 0 && (seen_sheet.0 > version || is_conflict) {
            self.latest_sheet = self.latest_sheet.max(seen_sheet);
            self.report_event(MemberEvent::SheetSeen {
                host: sender.host.clone(),
                version: seen_sheet.0,
                digest: seen_sheet.1,
            });
        }
    }
}
