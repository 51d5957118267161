use {
    crate::{
        HostRank, SheetAction, SheetIndex, SheetSource, peer_book::PeerBook,
        report_book::is_same_digest,
    },
    base::{HostId, SheetVersion},
    std::time::{Duration, Instant},
};

/// Longest time that a fetch may take before another source is tried.
const FETCH_LIMIT: Duration = Duration::from_secs(1);
/// Pause after the service failed before parts are read from it again.
const SERVICE_PAUSE: Duration = Duration::from_secs(1);
/// Peers that are asked in one round.
const ASK_COUNT: usize = 5;

/// A sheet that some source offers.
pub(crate) type SheetOffer = (SheetVersion, String);

/// A fetch that has not ended.
#[derive(Debug)]
struct SheetFetch {
    source: SheetSource,
    offer: SheetOffer,
    ends_at: Instant,
}

/// Knows who offers which sheet and runs one fetch at a time.
#[derive(Debug)]
pub(crate) struct SourcePlan {
    host: HostId,
    pub(crate) peers: PeerBook,
    served: Option<(SheetIndex, String)>,
    service_retry_at: Option<Instant>,
    fetch: Option<SheetFetch>,
    round: u64,
}

impl SourcePlan {
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            peers: PeerBook::default(),
            served: None,
            service_retry_at: None,
            fetch: None,
            round: 0,
        }
    }

    /// Records what the service serves.
    pub(crate) fn serve(&mut self, index: SheetIndex, digest: String) {
        self.served = Some((index, digest));
    }

    /// True once the service has given an index.
    pub(crate) fn has_index(&self) -> bool {
        self.served.is_some()
    }

    /// Ends the fetch from a source.
    pub(crate) fn end_fetch(&mut self, source: &SheetSource) {
        self.fetch.take_if(|fetch| fetch.source == *source);
    }

    /// Ends the fetch from a source and leaves it alone for a while.
    pub(crate) fn fail(&mut self, source: &SheetSource, now: Instant) {
        self.end_fetch(source);
        match source {
            SheetSource::Service => self.service_retry_at = Some(now + SERVICE_PAUSE),
            SheetSource::Peer(host) => self.peers.fail(host, now),
        }
    }

    /// Gives up a fetch that takes too long.
    pub(crate) fn expire(&mut self, now: Instant) {
        if let Some(fetch) = self.fetch.take_if(|fetch| fetch.ends_at <= now) {
            self.fail(&fetch.source, now);
        }
    }

    /// Peers to ask next, others in each round.
    pub(crate) fn next_round(&mut self) -> Vec<HostId> {
        self.round += 1;
        self.peers.choose(ASK_COUNT, &self.rank())
    }

    /// Sheets on offer that pass the filter: the latest first, then the smallest digest.
    pub(crate) fn offers(&self, accepts: impl Fn(SheetVersion, &str) -> bool) -> Vec<SheetOffer> {
        let served = self.served.iter();
        let served = served.map(|(index, digest)| (index.version, digest.as_str()));
        let mut offers: Vec<SheetOffer> = served
            .chain(self.peers.offers())
            .filter(|(version, digest)| accepts(*version, digest))
            .map(|(version, digest)| (version, digest.to_string()))
            .collect();
        offers.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.1.cmp(&right.1)));
        offers.dedup_by(|next, kept| next.0 == kept.0 && is_same_digest(&next.1, &kept.1));
        offers
    }

    /// Starts to fetch the first offer that can be had, unless that or a later one is under way.
    pub(crate) fn fetch_first(
        &mut self,
        offers: Vec<SheetOffer>,
        now: Instant,
    ) -> Option<SheetAction> {
        for offer in offers {
            let pending = self.fetch.as_ref();
            if pending.is_some_and(|fetch| covers(&fetch.offer, &offer)) {
                return None;
            }
            if let Some((source, action)) = self.choose_source(&offer, now) {
                self.round += 1;
                self.fetch = Some(SheetFetch {
                    source,
                    offer,
                    ends_at: now + FETCH_LIMIT,
                });
                return Some(action);
            }
        }
        None
    }

    /// Next time at which a fetch ends or a source may be tried again.
    pub(crate) fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let times = [
            self.fetch.as_ref().map(|fetch| fetch.ends_at),
            self.service_retry_at.filter(|at| *at > now),
            self.peers.next_retry(now),
        ];
        times.into_iter().flatten().min()
    }

    /// A peer if one can be had, since the reads at the service are few.
    fn choose_source(
        &self,
        offer: &SheetOffer,
        now: Instant,
    ) -> Option<(SheetSource, SheetAction)> {
        let (version, digest) = offer;
        if let Some(host) = self.peers.holder((*version, digest), &self.rank(), now) {
            let action = SheetAction::FetchFromPeer { host: host.clone() };
            return Some((SheetSource::Peer(host), action));
        }
        let (index, served) = self.served.as_ref()?;
        let usable = self.service_retry_at.is_none_or(|at| at <= now);
        let action = SheetAction::FetchParts {
            index: index.clone(),
        };
        (usable && index.version == *version && is_same_digest(served, digest))
            .then_some((SheetSource::Service, action))
    }

    /// Ranking of peers that differs between hosts and rounds, so that no peer is asked by all.
    fn rank(&self) -> HostRank {
        HostRank::new(format!("{} {}", self.host, self.round))
    }
}

/// True if fetching the first offer makes it needless to fetch the second one now.
fn covers(pending: &SheetOffer, offer: &SheetOffer) -> bool {
    pending.0 > offer.0 || (pending.0 == offer.0 && is_same_digest(&pending.1, &offer.1))
}
