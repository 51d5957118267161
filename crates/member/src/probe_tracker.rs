use {
    base::HostId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    wire::PeerIdentity,
};

/// Limit of the probes in flight.
const MAX_PROBES: usize = 32;
/// Limit of the hosts queued for a probe out of turn.
const MAX_QUEUED_HOSTS: usize = 1_024;
/// Limit of the probes relayed for other hosts at once.
const MAX_RELAYS: usize = 256;
/// Time for which a relayed probe waits for its answer.
const RELAY_RETENTION: Duration = Duration::from_secs(2);

/// Tracks the probes in flight, the hosts queued for a probe, and the probes relayed for others.
#[derive(Debug, Default)]
pub(crate) struct ProbeTracker {
    probes: BTreeMap<u64, Probe>,
    queued_hosts: VecDeque<HostId>,
    relays: BTreeMap<u64, Relay>,
}

/// Probe in flight.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    /// Process that is probed.
    pub(crate) identity: PeerIdentity,
    /// True once helpers were asked to probe the process.
    pub(crate) is_indirect: bool,
    /// Number of helpers to ask if the direct probe fails.
    pub(crate) helper_count: usize,
    /// Number of earlier attempts, each with a direct and an indirect probe, that failed.
    pub(crate) failed_attempts: u32,
    /// When the direct or indirect probe times out.
    pub(crate) deadline: Instant,
}

/// Probe relayed for another host.
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    /// Peer address of the host that asked for the probe.
    pub(crate) requester: String,
    /// Nonce that the requester gave the probe.
    pub(crate) nonce: u64,
    expires: Instant,
}

impl ProbeTracker {
    /// Adds a probe; returns false if too many are in flight.
    pub(crate) fn add_probe(&mut self, nonce: u64, probe: Probe) -> bool {
        if self.probes.len() >= MAX_PROBES {
            return false;
        }
        self.probes.insert(nonce, probe);
        true
    }

    /// Removes the probe that an answer belongs to; returns false if the probe is not in flight.
    pub(crate) fn complete_probe(&mut self, nonce: u64) -> bool {
        self.probes.remove(&nonce).is_some()
    }

    /// Removes every probe of a host, and the host from the queue, since a message from it arrived.
    pub(crate) fn remove_host(&mut self, host: &str) {
        self.probes.retain(|_, probe| probe.identity.host != host);
        self.queued_hosts.retain(|queued| queued != host);
    }

    /// Removes and returns the probes that have timed out.
    pub(crate) fn take_overdue(&mut self, now: Instant) -> Vec<(u64, Probe)> {
        let nonces: Vec<_> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(nonce, _)| *nonce)
            .collect();
        let overdue = nonces.into_iter();
        overdue
            .filter_map(|nonce| Some((nonce, self.probes.remove(&nonce)?)))
            .collect()
    }

    /// Returns the earliest deadline of the probes in flight.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.probes.values().map(|probe| probe.deadline).min()
    }

    /// True if a probe of the host is in flight.
    pub(crate) fn is_probing(&self, host: &str) -> bool {
        self.probes
            .values()
            .any(|probe| probe.identity.host == host)
    }

    /// Queues a host for a probe out of turn, unless it is queued or probed already or the queue is
    /// full.
    pub(crate) fn enqueue_host(&mut self, host: &str) {
        let is_queued = self.queued_hosts.iter().any(|queued| queued == host);
        if !is_queued && !self.is_probing(host) && self.queued_hosts.len() < MAX_QUEUED_HOSTS {
            self.queued_hosts.push_back(host.to_string());
        }
    }

    /// Removes and returns the next host of the queue.
    pub(crate) fn pop_queued_host(&mut self) -> Option<HostId> {
        self.queued_hosts.pop_front()
    }

    /// True if a host is queued.
    pub(crate) fn has_queued_hosts(&self) -> bool {
        !self.queued_hosts.is_empty()
    }

    /// Drops all probes and the queue, since answers may have been missed during a pause.
    pub(crate) fn clear(&mut self) {
        self.probes.clear();
        self.queued_hosts.clear();
    }

    /// Adds a relayed probe under the nonce that this daemon gave it; returns false if there are
    /// too many.
    pub(crate) fn add_relay(
        &mut self,
        own_nonce: u64,
        requester: &str,
        nonce: u64,
        now: Instant,
    ) -> bool {
        self.relays.retain(|_, relay| relay.expires > now);
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        let relay = Relay {
            requester: requester.to_string(),
            nonce,
            expires: now + RELAY_RETENTION,
        };
        self.relays.insert(own_nonce, relay);
        true
    }

    /// Removes and returns the relayed probe that an answer belongs to.
    pub(crate) fn take_relay(&mut self, own_nonce: u64) -> Option<Relay> {
        self.relays.remove(&own_nonce)
    }
}
