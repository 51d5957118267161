use {
    base::HostId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    wire::PeerIdentity,
};

/// Most probes under way at once.
const MAX_PROBES: usize = 32;
/// Most hosts that wait to be probed out of turn.
const MAX_WAITING: usize = 1_024;
/// Most probes that are made for others at once.
const MAX_RELAYS: usize = 256;
/// Time for which a probe made for another host is remembered.
const RELAY_KEPT: Duration = Duration::from_secs(2);

/// Probes under way, hosts that wait for one, and probes made for others.
#[derive(Debug, Default)]
pub(crate) struct ProbeDesk {
    probes: BTreeMap<u64, Probe>,
    waiting: VecDeque<HostId>,
    relays: BTreeMap<u64, Relay>,
}

/// One probe under way.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    /// Process that is probed.
    pub(crate) key: PeerIdentity,
    /// True once others were asked to probe it.
    pub(crate) indirect: bool,
    /// Members that are asked to probe it.
    pub(crate) helpers: usize,
    /// Rounds that have failed.
    pub(crate) failures: u32,
    /// When the round under way fails.
    pub(crate) deadline: Instant,
}

/// A probe made for another host.
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    /// Address of the host that asked.
    pub(crate) asker: String,
    /// Its number for the probe.
    pub(crate) nonce: u64,
    expires: Instant,
}

impl ProbeDesk {
    /// Starts or continues a probe; false if too many are under way.
    pub(crate) fn open(&mut self, nonce: u64, probe: Probe) -> bool {
        if self.probes.len() >= MAX_PROBES {
            return false;
        }
        self.probes.insert(nonce, probe);
        true
    }

    /// Ends the probe that an answer belongs to.
    pub(crate) fn answered(&mut self, nonce: u64) -> bool {
        self.probes.remove(&nonce).is_some()
    }

    /// Ends every probe of a host that was heard of otherwise.
    pub(crate) fn heard(&mut self, host: &str) {
        self.probes.retain(|_, probe| probe.key.host != host);
        self.waiting.retain(|waiting| waiting != host);
    }

    /// Takes out the probes whose time is over.
    pub(crate) fn overdue(&mut self, now: Instant) -> Vec<(u64, Probe)> {
        let nonces: Vec<_> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(nonce, _)| *nonce)
            .collect();
        let taken = nonces.into_iter();
        taken
            .filter_map(|nonce| Some((nonce, self.probes.remove(&nonce)?)))
            .collect()
    }

    /// Earliest end of a probe's time.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.probes.values().map(|probe| probe.deadline).min()
    }

    /// True if the host is being probed.
    pub(crate) fn is_probing(&self, host: &str) -> bool {
        self.probes.values().any(|probe| probe.key.host == host)
    }

    /// Lets a host wait for a probe out of turn.
    pub(crate) fn wait(&mut self, host: &str) {
        let known = self.waiting.iter().any(|waiting| waiting == host);
        if !known && !self.is_probing(host) && self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(host.to_string());
        }
    }

    /// Next host that waits.
    pub(crate) fn next_waiting(&mut self) -> Option<HostId> {
        self.waiting.pop_front()
    }

    /// True if a host waits.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Drops all probes, whose answers may have been missed.
    pub(crate) fn reset(&mut self) {
        self.probes.clear();
        self.waiting.clear();
    }

    /// Remembers a probe made for another host; false if too many are.
    pub(crate) fn relay(&mut self, own: u64, asker: &str, nonce: u64, now: Instant) -> bool {
        self.relays.retain(|_, relay| relay.expires > now);
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        let relay = Relay {
            asker: asker.to_string(),
            nonce,
            expires: now + RELAY_KEPT,
        };
        self.relays.insert(own, relay);
        true
    }

    /// Takes out the probe made for another host that an answer belongs to.
    pub(crate) fn take_relay(&mut self, own: u64) -> Option<Relay> {
        self.relays.remove(&own)
    }
}
