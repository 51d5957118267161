use {
    crate::{HostTable, rank_hosts},
    plan::StorePosition,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Number of hosts of the fleet that ask the store early, so that the others can ask them.
const CHECKER_COUNT: usize = 3;
/// Key by which the hosts that ask the store early are ranked.
const CHECKER_RANK_KEY: &str = "store";
/// Age of the evidence, as a share of its limit, from which a host asks a checker.
const ASK_PEER_SHARE: f64 = 0.1;
/// Age of the evidence, as a share of its limit, from which a checker asks the store.
const CHECKER_SHARE: f64 = 0.15;
/// Age of the evidence, as a share of its limit, from which a checker asks another one as well, since
/// its own question brings no answer.
const OVERDUE_SHARE: f64 = 0.28;
/// Age of the evidence, as a share of its limit, from which every host asks the store.
const FALLBACK_SHARE: f64 = 0.4;
/// Upper bound of the random share that is added to the ages from which a host asks the store, so
/// that hosts do not ask all at once.
const MAX_JITTER_SHARE: f64 = 0.1;
/// Upper bound of the limit that the shares are taken of: even if evidence is valid for longer, a
/// change in the store must not go unnoticed for longer.
const MAX_EVIDENCE_LIMIT: Duration = Duration::from_millis(4_500);

/// A question to a peer: how old is its evidence, that is, its latest confirmation that it knows
/// the latest revision of the store?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRequest {
    /// Hash of the process that asks, as returned by `HostRecord::process_hash`.
    pub process: u32,
    /// Time at which it asks, by the boot clock of its machine.
    pub asked: Duration,
}

/// The answer of a peer to an [`EvidenceRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceAnswer {
    /// The request that is answered.
    pub request: EvidenceRequest,
    /// Time from the start of the peer's latest read of the store to its answer.
    pub age: Duration,
    /// Position in the store's history up to which the peer knows every change.
    pub position: StorePosition,
}

impl EvidenceAnswer {
    /// Returns a time, by the boot clock of the asking process, at which the store had no later
    /// revision; `None` if it is before the start of that clock.
    ///
    /// The age is subtracted from the time of the request. Since the peer answered after it was
    /// asked, the result is never too late, however long the answer was in transit.
    ///
    /// ```
    /// use {
    ///     board::{EvidenceAnswer, EvidenceRequest},
    ///     plan::StorePosition,
    ///     std::time::Duration,
    /// };
    ///
    /// let request = EvidenceRequest { process: 1, asked: Duration::from_secs(100) };
    /// let position = StorePosition { era: 1, revision: 7 };
    /// let answer = EvidenceAnswer { request, age: Duration::from_secs(1), position };
    /// assert_eq!(answer.confirmed_at(), Some(Duration::from_secs(99)));
    /// ```
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.request.asked.checked_sub(self.age)
    }
}

/// What a host has to do to renew its evidence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefreshDecision {
    /// True if the host has to ask the store.
    pub check_store: bool,
    /// Address of the peer to ask, if there is one.
    pub ask_peer: Option<SocketAddr>,
}

/// Decides when a host renews its evidence, so that few calls to the store keep the evidence of the
/// whole fleet fresh: a few checkers ask the store, and the other hosts ask the checkers. They ask
/// the store themselves only if that does not help.
///
/// It does no I/O.
#[derive(Debug)]
pub struct EvidenceRefresher {
    limit: Duration,
    random: ChaCha8Rng,
    /// Counts the questions to checkers, which are asked in turn: those that the store turns away
    /// know nothing new.
    asked_count: usize,
    /// Random share of the limit that is added to the age at which this host asks the store.
    jitter_share: f64,
}

impl EvidenceRefresher {
    /// Creates a refresher for evidence that is valid up to the age `limit`.
    pub fn new(limit: Duration, seed: u64) -> Self {
        Self {
            limit: limit.min(MAX_EVIDENCE_LIMIT),
            random: ChaCha8Rng::seed_from_u64(seed),
            asked_count: seed as usize % CHECKER_COUNT,
            jitter_share: 0.0,
        }
    }

    /// Returns the age to go by at a host that has read the store and has no evidence. `usable_for` is
    /// the time for which an answer of the store could have been evidence; `None` while only that of a
    /// peer can be.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let limit = Duration::from_secs(4);
    /// let refresher = board::EvidenceRefresher::new(limit, 1);
    /// let checks_at_once = refresher.age_without_evidence(Some(Duration::ZERO));
    /// assert!(refresher.age_without_evidence(None) < checks_at_once);
    /// assert!(checks_at_once < limit);
    /// ```
    pub fn age_without_evidence(&self, usable_for: Option<Duration>) -> Duration {
        match usable_for {
            None => self.limit.mul_f64(ASK_PEER_SHARE),
            Some(time) => self.limit.mul_f64(CHECKER_SHARE + MAX_JITTER_SHARE) + time,
        }
    }

    /// Returns what to do now, given the age of the evidence; `None` stands for no evidence before
    /// the first read of the store, and needs nothing.
    pub fn decide_refresh(
        &mut self,
        age: Option<Duration>,
        hosts: &HostTable,
        now: Instant,
    ) -> RefreshDecision {
        let Some(age) = age else {
            return RefreshDecision::default();
        };
        if age < self.limit.mul_f64(ASK_PEER_SHARE) {
            self.jitter_share = self.random.random_range(0.0..MAX_JITTER_SHARE);
            return RefreshDecision::default();
        }
        let checkers = store_checkers(hosts, now);
        let own = hosts.own_record().host.as_str();
        let is_checker = checkers.contains(&own);
        let is_fallback_due = age >= self.limit.mul_f64(FALLBACK_SHARE + self.jitter_share);
        let is_overdue = age >= self.limit.mul_f64(OVERDUE_SHARE);
        let is_check_due = age >= self.limit.mul_f64(CHECKER_SHARE + self.jitter_share);
        let other_checkers: Vec<&str> = checkers.into_iter().filter(|host| *host != own).collect();
        self.asked_count = self.asked_count.wrapping_add(1);
        let position = self.asked_count.checked_rem(other_checkers.len());
        let peer = position.and_then(|position| hosts.peer_address(other_checkers[position]));
        RefreshDecision {
            check_store: is_fallback_due || (is_checker && is_check_due),
            ask_peer: peer.filter(|_| !is_checker || is_overdue),
        }
    }
}

/// Returns the names of the hosts that ask the store for the whole fleet, the same on every entry.
///
/// ```
/// # use board::{GossipSettings, HostRecord, HostTable, store_checkers};
/// # let address: std::net::SocketAddr = "10.0.0.1:1".parse().unwrap();
/// # let own = HostRecord { host: String::from("h1"), data_centre: String::new(), incarnation: 1,
/// #     sequence: 0, callers: address, peers: address, hops: address, core_share: 250, ready: true,
/// #     reaches_targets: true, leaving: false, settled: true, plan_version: 1, loads: Vec::new(), pools: Vec::new(),
/// #     crashes: Vec::new() };
/// let hosts = HostTable::new(GossipSettings::default(), own, [], 1);
/// assert_eq!(store_checkers(&hosts, std::time::Instant::now()), ["h1"]);
/// ```
pub fn store_checkers(hosts: &HostTable, now: Instant) -> Vec<&str> {
    rank_hosts(
        CHECKER_RANK_KEY,
        hosts.checker_candidates(now),
        CHECKER_COUNT,
    )
}
