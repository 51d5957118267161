use {
    crate::{
        HostRank, SheetAction, SheetIndex, SheetSource, peer_registry::PeerRegistry,
        report_history::is_same_digest,
    },
    base::{HostId, SheetVersion},
    std::time::{Duration, Instant},
};

/// Time after which a fetch is given up and another source is tried.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after the configuration service failed before parts are read from it again.
const SERVICE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of peers that are asked in one round.
const PEERS_PER_ROUND: usize = 5;

/// Version and digest of a sheet that a peer or the configuration service has.
pub(crate) type SheetOffer = (SheetVersion, String);

/// A fetch that is running.
#[derive(Debug)]
struct SheetFetch {
    source: SheetSource,
    offer: SheetOffer,
    times_out_at: Instant,
}

/// Tracks which source has which sheet and runs one fetch at a time.
#[derive(Debug)]
pub(crate) struct FetchScheduler {
    host: HostId,
    pub(crate) peers: PeerRegistry,
    /// Latest index read from the configuration service, with its digest.
    served_index: Option<(SheetIndex, String)>,
    /// Set after a failure of the configuration service: when parts may be read from it again.
    service_retry_at: Option<Instant>,
    fetch: Option<SheetFetch>,
    /// Counts rounds and fetches; it varies the ranking of the peers.
    round: u64,
}

impl FetchScheduler {
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            peers: PeerRegistry::default(),
            served_index: None,
            service_retry_at: None,
            fetch: None,
            round: 0,
        }
    }

    /// Records the index that the configuration service serves.
    pub(crate) fn record_index(&mut self, index: SheetIndex, digest: String) {
        self.served_index = Some((index, digest));
    }

    /// Returns true if the configuration service has served an index.
    pub(crate) fn has_index(&self) -> bool {
        self.served_index.is_some()
    }

    /// Ends the running fetch if it is from this source.
    pub(crate) fn end_fetch(&mut self, source: &SheetSource) {
        self.fetch.take_if(|fetch| fetch.source == *source);
    }

    /// Ends the running fetch if it is from this source and pauses the source.
    pub(crate) fn record_failure(&mut self, source: &SheetSource, now: Instant) {
        self.end_fetch(source);
        match source {
            SheetSource::Service => self.service_retry_at = Some(now + SERVICE_RETRY_DELAY),
            SheetSource::Peer(host) => self.peers.record_failure(host, now),
        }
    }

    /// Gives up the running fetch if it has timed out.
    pub(crate) fn expire_fetch(&mut self, now: Instant) {
        if let Some(fetch) = self.fetch.take_if(|fetch| fetch.times_out_at <= now) {
            self.record_failure(&fetch.source, now);
        }
    }

    /// Returns the peers to ask next; each round chooses others.
    pub(crate) fn next_peers(&mut self) -> Vec<HostId> {
        self.round += 1;
        self.peers.choose_peers(PEERS_PER_ROUND, &self.peer_rank())
    }

    /// Returns the sheets that any source has and that pass the filter, ordered by falling version
    /// and then by digest.
    pub(crate) fn offers(&self, accepts: impl Fn(SheetVersion, &str) -> bool) -> Vec<SheetOffer> {
        let served_index = self.served_index.iter();
        let served_offer = served_index.map(|(index, digest)| (index.version, digest.as_str()));
        let mut offers: Vec<SheetOffer> = served_offer
            .chain(self.peers.offers())
            .filter(|(version, digest)| accepts(*version, digest))
            .map(|(version, digest)| (version, digest.to_string()))
            .collect();
        offers.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.1.cmp(&right.1)));
        offers.dedup_by(|next, kept| next.0 == kept.0 && is_same_digest(&next.1, &kept.1));
        offers
    }

    /// Starts to fetch the first offer that has a usable source, unless that sheet or a later one
    /// is being fetched already.
    pub(crate) fn start_fetch(
        &mut self,
        offers: Vec<SheetOffer>,
        now: Instant,
    ) -> Option<SheetAction> {
        for offer in offers {
            let running_fetch = self.fetch.as_ref();
            if running_fetch.is_some_and(|fetch| covers(&fetch.offer, &offer)) {
                return None;
            }
            if let Some((source, action)) = self.choose_source(&offer, now) {
                self.round += 1;
                self.fetch = Some(SheetFetch {
                    source,
                    offer,
                    times_out_at: now + FETCH_TIMEOUT,
                });
                return Some(action);
            }
        }
        None
    }

    /// Returns the next time at which the fetch times out or a source may be tried again.
    pub(crate) fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let times = [
            self.fetch.as_ref().map(|fetch| fetch.times_out_at),
            self.service_retry_at.filter(|at| *at > now),
            self.peers.next_retry(now),
        ];
        times.into_iter().flatten().min()
    }

    /// Chooses the source for a sheet. Peers come first, to keep the load on the configuration
    /// service low.
    fn choose_source(
        &self,
        offer: &SheetOffer,
        now: Instant,
    ) -> Option<(SheetSource, SheetAction)> {
        let (version, digest) = offer;
        if let Some(host) = self
            .peers
            .find_holder((*version, digest), &self.peer_rank(), now)
        {
            let action = SheetAction::FetchFromPeer { host: host.clone() };
            return Some((SheetSource::Peer(host), action));
        }
        let (index, served_digest) = self.served_index.as_ref()?;
        let is_usable = self.service_retry_at.is_none_or(|at| at <= now);
        let action = SheetAction::FetchParts {
            index: index.clone(),
        };
        (is_usable && index.version == *version && is_same_digest(served_digest, digest))
            .then_some((SheetSource::Service, action))
    }

    /// Ranking of the peers that differs between hosts and rounds, so that the load spreads over
    /// the peers.
    fn peer_rank(&self) -> HostRank {
        HostRank::new(format!("{} {}", self.host, self.round))
    }
}

/// Returns true if the offer need not be fetched while the other one is being fetched.
fn covers(fetching: &SheetOffer, offer: &SheetOffer) -> bool {
    fetching.0 > offer.0 || (fetching.0 == offer.0 && is_same_digest(&fetching.1, &offer.1))
}
