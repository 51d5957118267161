use {
    crate::{HostTable, rank_hosts},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Hosts of the fleet that ask the store early, so that the others can ask them.
const CHECKERS: usize = 3;
/// Parts of the evidence limit: age at which evidence is asked of a peer, at which a checker asks
/// the store, at which any other host does so, and how far those of one kind are spread.
const ASK_SHARE: f64 = 0.1;
const CHECK_SHARE: f64 = 0.15;
const LONE_SHARE: f64 = 0.4;
const SPREAD_SHARE: f64 = 0.1;
/// Longest evidence limit that the shares are taken of: news from the store must not wait longer.
const LONGEST_LIMIT: Duration = Duration::from_millis(4_500);

/// Asks a peer how young its evidence of the store is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRequest {
    /// Process that asks.
    pub process: u32,
    /// Time at which it asks, by its own boot clock.
    pub asked: Duration,
}

/// The answer of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceAnswer {
    /// The question.
    pub request: EvidenceRequest,
    /// Time since the peer began its latest read of the store, as it answers.
    pub age: Duration,
    /// Revision of the store up to which the peer knows all.
    pub revision: u64,
}

impl EvidenceAnswer {
    /// Time, by the clock of the process that asked, at which the store had no later revision. The
    /// peer answered after it was asked, so however long the answer was under way, this is never
    /// too late.
    ///
    /// ```
    /// use {board::{EvidenceAnswer, EvidenceRequest}, std::time::Duration};
    ///
    /// let request = EvidenceRequest { process: 1, asked: Duration::from_secs(100) };
    /// let answer = EvidenceAnswer { request, age: Duration::from_secs(1), revision: 7 };
    /// assert_eq!(answer.confirmed_at(), Some(Duration::from_secs(99)));
    /// ```
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.request.asked.checked_sub(self.age)
    }
}

/// What to do about the age of the evidence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefreshDecision {
    /// True to ask the store.
    pub check_store: bool,
    /// Peer that is to be asked.
    pub ask_peer: Option<SocketAddr>,
}

/// Keeps evidence of the store young with few calls: some hosts ask the store, the others ask
/// them, and the store only if that does not help.
///
/// It does no I/O.
#[derive(Debug)]
pub struct EvidenceRefresher {
    limit: Duration,
    random: ChaCha8Rng,
    spread: f64,
}

impl EvidenceRefresher {
    /// Desk for evidence that counts up to an age.
    pub fn new(limit: Duration, seed: u64) -> Self {
        Self {
            limit: limit.min(LONGEST_LIMIT),
            random: ChaCha8Rng::seed_from_u64(seed),
            spread: 0.0,
        }
    }

    /// What to do now, given the age of the evidence; none before the store was first read.
    pub fn decide(
        &mut self,
        age: Option<Duration>,
        board: &HostTable,
        now: Instant,
    ) -> RefreshDecision {
        let Some(age) = age else {
            return RefreshDecision::default();
        };
        if age < self.limit.mul_f64(ASK_SHARE) {
            self.spread = self.random.random_range(0.0..SPREAD_SHARE);
            return RefreshDecision::default();
        }
        let checkers = rank_hosts("store", board.owner_candidates(now), CHECKERS);
        let own = board.own_record().host.as_str();
        let is_checker = checkers.contains(&own);
        let is_alone = age >= self.limit.mul_f64(LONE_SHARE + self.spread);
        let is_due = age >= self.limit.mul_f64(CHECK_SHARE + self.spread);
        let others: Vec<&str> = checkers.into_iter().filter(|host| *host != own).collect();
        let asked = others.choose(&mut self.random);
        let asked = asked.and_then(|host| board.peer_address(host));
        RefreshDecision {
            check_store: is_alone || (is_checker && is_due),
            // A checker whose own calls do not help asks as well.
            ask_peer: asked.filter(|_| !is_checker || is_alone),
        }
    }
}
