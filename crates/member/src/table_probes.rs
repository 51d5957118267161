use {
    crate::{
        MemberEvent, MemberTable,
        probe_desk::Probe,
        table_rounds::{WAITING_INTERVAL, is_due},
    },
    rand::{
        Rng,
        seq::{IteratorRandom, SliceRandom},
    },
    std::time::Instant,
    wire::{PeerIdentity, PeerMessage, PeerRumour},
};

/// Members asked to help with a probe out of turn, since another member's probes failed before.
const WAITING_HELPERS: usize = 1;

impl MemberTable {
    pub(crate) fn end_probes(&mut self, now: Instant) {
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
                sender: self.own.identity(),
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

    fn suspect(&mut self, key: PeerIdentity, now: Instant) {
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

    pub(crate) fn start_probes(&mut self, now: Instant) {
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
            self.probe(record.about.identity(), helpers, 0, now);
        }
    }

    fn probe(&mut self, key: PeerIdentity, helpers: usize, failures: u32, now: Instant) {
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
            let sender = self.own.identity();
            self.send(address, PeerMessage::Probe { sender, nonce });
        }
    }

    /// Addresses of random peers that are no suspects and can probe another.
    fn pick_helpers(&mut self, count: usize, other: &str) -> Vec<String> {
        let records = self.peers.records().filter(|record| !record.is_suspect());
        let helpers = records.filter(|record| record.about.host != other);
        let mut addresses: Vec<_> = helpers.map(|record| &record.about.peers).collect();
        let (picked, _) = addresses.partial_shuffle(&mut self.random, count);
        picked.iter().map(|address| address.to_string()).collect()
    }
}
