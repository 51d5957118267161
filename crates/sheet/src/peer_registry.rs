use {
    crate::{HostRank, report_history::is_same_digest},
    base::{HostId, SheetVersion},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Pause after a peer failed before a sheet is fetched from it again.
const PEER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The sheet that one peer has in force.
#[derive(Debug, Clone, Default)]
struct PeerState {
    /// Version in force, 0 if none.
    version: SheetVersion,
    /// Digest of that sheet or a prefix of it, empty if none.
    digest: String,
    /// Set after a failure: when the peer may be tried again.
    retry_at: Option<Instant>,
}

impl PeerState {
    fn is_usable(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| at <= now)
    }
}

/// Peers of this daemon and the sheets that they last reported as in force.
#[derive(Debug, Default)]
pub(crate) struct PeerRegistry {
    /// Peers that may be asked for a sheet.
    listed_hosts: BTreeSet<HostId>,
    states: BTreeMap<HostId, PeerState>,
}

impl PeerRegistry {
    /// Replaces the list of peers and forgets the sheets of those that are no longer listed.
    pub(crate) fn replace_list(&mut self, hosts: Vec<HostId>) {
        let listed_hosts: BTreeSet<HostId> = hosts.into_iter().collect();
        self.states.retain(|host, _| listed_hosts.contains(host));
        self.listed_hosts = listed_hosts;
    }

    /// Records the sheet that a peer has in force.
    pub(crate) fn record_sheet(&mut self, host: HostId, version: SheetVersion, digest: String) {
        let state = self.states.entry(host).or_default();
        state.version = version;
        state.digest = digest;
    }

    /// Records that a peer failed, so that no sheet is fetched from it for `PEER_RETRY_DELAY`.
    pub(crate) fn record_failure(&mut self, host: &str, now: Instant) {
        if let Some(state) = self.states.get_mut(host) {
            state.retry_at = Some(now + PEER_RETRY_DELAY);
        }
    }

    /// Returns the version and digest of the sheet in force at each peer that has one.
    pub(crate) fn offers(&self) -> impl Iterator<Item = (SheetVersion, &str)> {
        let states = self.states.values().filter(|state| state.version > 0);
        states.map(|state| (state.version, state.digest.as_str()))
    }

    /// Returns the highest-ranked peer that has the sheet and is not paused after a failure.
    pub(crate) fn find_holder(
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

    /// Returns the `count` highest-ranked peers of the list.
    pub(crate) fn choose_peers(&self, count: usize, rank: &HostRank) -> Vec<HostId> {
        let ranked = rank.ranked(&self.listed_hosts);
        ranked.into_iter().take(count).cloned().collect()
    }

    /// Returns the next time at which a peer that failed may be tried again.
    pub(crate) fn next_retry(&self, now: Instant) -> Option<Instant> {
        let times = self.states.values().filter_map(|state| state.retry_at);
        times.filter(|at| *at > now).min()
    }
}
