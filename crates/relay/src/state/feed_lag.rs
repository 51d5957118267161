use {
    plan::StorePosition,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which the feed may lag behind what another peer knows before that peer is followed.
const MAX_FEED_LAG: Duration = Duration::from_millis(400);
/// Time for which this entry may lag behind a peer before it asks the store itself.
const MAX_LAG: Duration = Duration::from_millis(900);
/// Time for which a peer that was ahead is followed.
const PREFERENCE_TIME: Duration = Duration::from_secs(5);

/// What to do about news that a peer has and this entry lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LagAdvice {
    /// Nothing: the feed may still bring it.
    Wait,
    /// Follow the peer that has it.
    ChangeFeed,
    /// Ask the store.
    AskStore,
}

/// For how long this entry has known that a peer is ahead of it, and which one.
///
/// A change reaches the entries that watch the store first and the others by the feed a moment
/// later. In between the others must not all ask the store for it. It answers this pattern: the
/// entry that many follow is turned away by the store and goes on to tell them that it is alive,
/// while some answers show a later position and others none.
///
/// ```
/// use {
///     plan::StorePosition,
///     relay::{FeedLag, LagAdvice},
///     std::time::{Duration, Instant},
/// };
///
/// let mut lag = FeedLag::default();
/// let (known, later) = (StorePosition { era: 1, revision: 5 }, StorePosition { era: 1, revision: 6 });
/// let ahead = "10.0.0.1:80".parse().unwrap();
/// let now = Instant::now();
/// lag.record(later, ahead);
/// assert_eq!(lag.advise(known, now), LagAdvice::Wait);
/// assert_eq!(lag.advise(known, now + Duration::from_millis(500)), LagAdvice::ChangeFeed);
/// assert_eq!(lag.preferred(now + Duration::from_secs(1)), Some(ahead));
/// assert_eq!(lag.advise(known, now + Duration::from_secs(1)), LagAdvice::AskStore);
/// assert_eq!(lag.advise(later, now + Duration::from_secs(3)), LagAdvice::Wait);
/// ```
#[derive(Debug, Default)]
pub struct FeedLag {
    /// Latest position that a peer was heard to know.
    latest: StorePosition,
    /// Address of that peer.
    ahead: Option<SocketAddr>,
    behind_since: Option<Instant>,
    has_changed_feed: bool,
    /// Address of the peer to follow, and until when.
    preferred: Option<(SocketAddr, Instant)>,
}

impl FeedLag {
    /// Records that the peer at this address knows a position.
    pub fn record(&mut self, position: StorePosition, peer: SocketAddr) {
        if position > self.latest {
            self.latest = position;
            self.ahead = Some(peer);
        }
    }

    /// Decides what to do while this entry knows the position `known`. A peer that is behind as well
    /// is no sign of having caught up.
    pub fn advise(&mut self, known: StorePosition, now: Instant) -> LagAdvice {
        if known >= self.latest {
            self.behind_since = None;
            self.has_changed_feed = false;
            return LagAdvice::Wait;
        }
        let since = *self.behind_since.get_or_insert(now);
        let lag = now.saturating_duration_since(since);
        if lag >= MAX_LAG {
            self.behind_since = None;
            self.has_changed_feed = false;
            return LagAdvice::AskStore;
        }
        if lag < MAX_FEED_LAG || self.has_changed_feed {
            return LagAdvice::Wait;
        }
        self.has_changed_feed = true;
        self.preferred = self.ahead.map(|peer| (peer, now + PREFERENCE_TIME));
        LagAdvice::ChangeFeed
    }

    /// Returns the address of the peer to follow because it was ahead; `None` if any will do.
    pub fn preferred(&self, now: Instant) -> Option<SocketAddr> {
        let preferred = self.preferred.filter(|(_, until)| *until > now);
        preferred.map(|(peer, _)| peer)
    }
}
