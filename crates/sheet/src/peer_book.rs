use {
    crate::{HostRank, report_book::is_same_digest},
    base::{HostId, SheetVersion},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Pause after a peer failed before it is asked for a sheet again.
const PEER_PAUSE: Duration = Duration::from_secs(1);

/// What one peer has in force.
#[derive(Debug, Clone, Default)]
struct PeerState {
    version: SheetVersion,
    digest: String,
    retry_at: Option<Instant>,
}

impl PeerState {
    fn is_usable(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| at <= now)
    }
}

/// What the peers have in force, as far as they have said.
#[derive(Debug, Default)]
pub(crate) struct PeerBook {
    listed: BTreeSet<HostId>,
    states: BTreeMap<HostId, PeerState>,
}

impl PeerBook {
    /// Replaces the list of peers; what others said is forgotten.
    pub(crate) fn list(&mut self, hosts: Vec<HostId>) {
        let listed: BTreeSet<HostId> = hosts.into_iter().collect();
        self.states.retain(|host, _| listed.contains(host));
        self.listed = listed;
    }

    /// Records what a peer has.
    pub(crate) fn learn(&mut self, host: HostId, version: SheetVersion, digest: String) {
        let state = self.states.entry(host).or_default();
        state.version = version;
        state.digest = digest;
    }

    /// Records that a peer failed.
    pub(crate) fn fail(&mut self, host: &str, now: Instant) {
        if let Some(state) = self.states.get_mut(host) {
            state.retry_at = Some(now + PEER_PAUSE);
        }
    }

    /// Sheets that peers have, by version and digest.
    pub(crate) fn offers(&self) -> impl Iterator<Item = (SheetVersion, &str)> {
        let states = self.states.values().filter(|state| state.version > 0);
        states.map(|state| (state.version, state.digest.as_str()))
    }

    /// A peer that has the sheet and did not fail just now.
    pub(crate) fn holder(
        &self,
        sheet: (SheetVersion, &str),
        rank: &HostRank,
        now: Instant,
    ) -> Option<HostId> {
        let holders = self.states.iter().filter(|(_, state)| {
            state.version == sheet.0
                && is_same_digest(&state.digest, sheet.1)
                && state.is_usable(now)
        });
        rank.best(holders.map(|(host, _)| host)).cloned()
    }

    /// The first peers of the list in the order of the rank.
    pub(crate) fn choose(&self, count: usize, rank: &HostRank) -> Vec<HostId> {
        let ranked = rank.ranked(&self.listed);
        ranked.into_iter().take(count).cloned().collect()
    }

    /// Next time at which a peer that failed may be asked again.
    pub(crate) fn next_retry(&self, now: Instant) -> Option<Instant> {
        let times = self.states.values().filter_map(|state| state.retry_at);
        times.filter(|at| *at > now).min()
    }
}
