use {
    crate::{
        MemberEvent, MemberTable,
        probe_tracker::Probe,
        table_rounds::{QUEUED_PROBE_INTERVAL, is_due},
    },
    rand::{
        Rng,
        seq::{IteratorRandom, SliceRandom},
    },
    std::time::Instant,
    wire::{PeerIdentity, PeerMessage, PeerRumour},
};

/// Number of helpers of a queued probe; one is enough, since another member's probes failed before.
const QUEUED_PROBE_HELPERS: usize = 1;

impl MemberTable {
    /// Handles probes that timed out: asks helpers after a direct probe, and probes again or
    /// suspects the process after an indirect one.
    pub(crate) fn end_probes(&mut self, now: Instant) {
        for (nonce, probe) in self.probes.take_overdue(now) {
            if !probe.is_indirect {
                self.ask_helpers(nonce, probe, now);
            } else if probe.failed_attempts + 1 < self.settings.probe_attempts {
                self.start_probe(
                    probe.identity,
                    probe.helper_count,
                    probe.failed_attempts + 1,
                    now,
                );
            } else {
                self.mark_suspect(probe.identity, now);
            }
        }
    }

    fn ask_helpers(&mut self, nonce: u64, probe: Probe, now: Instant) {
        let Some(record) = self.peers.get(&probe.identity.host) else {
            return;
        };
        let address = record.description.peers.clone();
        for helper in self.pick_helpers(probe.helper_count, &probe.identity.host) {
            let request = PeerMessage::ProbeRequest {
                sender: self.own.identity(),
                about: probe.identity.host.clone(),
                address: address.clone(),
                nonce,
            };
            self.send(helper, request);
        }
        let probe = Probe {
            is_indirect: true,
            deadline: now + self.settings.indirect_timeout,
            ..probe
        };
        self.probes.add_probe(nonce, probe);
    }

    fn mark_suspect(&mut self, identity: PeerIdentity, now: Instant) {
        if !self.peers.mark_suspect(&identity, now) {
            return;
        }
        if !self.peers.has_suspect_majority() {
            self.queue_rumour(PeerRumour::HostSuspect(identity.clone()), None);
        }
        self.report_event(MemberEvent::Suspect {
            host: identity.host,
            incarnation: identity.incarnation,
        });
    }

    /// Starts the probes that are due, except while listening after a pause.
    pub(crate) fn start_probes(&mut self, now: Instant) {
        if self.is_listening(now) {
            return;
        }
        if is_due(self.last_probe, self.settings.probe_round, now) {
            self.last_probe = Some(now);
            self.probe_next_peer(now);
            self.probe_random_suspect(now);
        }
        if self.probes.has_queued_hosts()
            && is_due(self.last_queued_probe, QUEUED_PROBE_INTERVAL, now)
        {
            self.last_queued_probe = Some(now);
            self.probe_queued_host(now);
        }
    }

    /// Probes the next queued host, which a peer suspects or reports as revived, if the byte budget
    /// allows it.
    fn probe_queued_host(&mut self, now: Instant) {
        if !self.pace.may_send(&self.settings, now) {
            return;
        }
        if let Some(host) = self.probes.pop_queued_host() {
            self.probe_host(&host, QUEUED_PROBE_HELPERS, now);
        }
    }

    /// Probes the next peer of a shuffled list, which is filled and shuffled anew when it is empty.
    fn probe_next_peer(&mut self, now: Instant) {
        if self.probe_order.is_empty() {
            let records = self.peers.records();
            self.probe_order = records
                .map(|record| record.description.host.clone())
                .collect();
            self.probe_order.shuffle(&mut self.random);
        }
        if let Some(host) = self.probe_order.pop() {
            self.probe_host(&host, self.settings.probe_helpers, now);
        }
    }

    /// Probes a random suspect, which may be back, without helpers.
    fn probe_random_suspect(&mut self, now: Instant) {
        let picked = self.peers.suspects().iter().choose(&mut self.random);
        if let Some(host) = picked.cloned() {
            self.probe_host(&host, 0, now);
        }
    }

    fn probe_host(&mut self, host: &str, helper_count: usize, now: Instant) {
        if self.probes.is_probing(host) {
            return;
        }
        if let Some(record) = self.peers.get(host) {
            self.start_probe(record.description.identity(), helper_count, 0, now);
        }
    }

    fn start_probe(
        &mut self,
        identity: PeerIdentity,
        helper_count: usize,
        failed_attempts: u32,
        now: Instant,
    ) {
        let Some(record) = self.peers.get(&identity.host) else {
            return;
        };
        let address = record.description.peers.clone();
        let nonce = self.random.random();
        let probe = Probe {
            identity,
            is_indirect: false,
            helper_count,
            failed_attempts,
            deadline: now + self.settings.direct_timeout,
        };
        if self.probes.add_probe(nonce, probe) {
            let sender = self.own.identity();
            self.send(address, PeerMessage::Probe { sender, nonce });
        }
    }

    /// Returns addresses of random peers that are not suspects, except the host `excluded`.
    fn pick_helpers(&mut self, count: usize, excluded: &str) -> Vec<String> {
        let records = self.peers.records().filter(|record| !record.is_suspect());
        let helpers = records.filter(|record| record.description.host != excluded);
        let mut addresses: Vec<_> = helpers.map(|record| &record.description.peers).collect();
        let (picked, _) = addresses.partial_shuffle(&mut self.random, count);
        picked.iter().map(|address| address.to_string()).collect()
    }
}
