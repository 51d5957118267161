use {
    crate::PartKey,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time for which an answer shows that its prompt's parts are sound. It bridges the time in which
/// most targets are down and no answer begins, and ends soon enough for a part that crashes
/// targets only since they run another version.
const PROOF_LIFETIME: Duration = Duration::from_secs(30);
/// Number of proofs from which on expired ones are deleted.
const MIN_CLEANUP_SIZE: usize = 8_192;

/// Parts on which targets have written answers, with the time of the latest one.
#[derive(Debug, Clone, Default)]
pub struct PartProofs {
    proven_at: HashMap<PartKey, Instant>,
    /// Number of proofs at which the expired ones are deleted the next time.
    cleanup_size: usize,
}

impl PartProofs {
    /// Records an answer. Returns true if the part had no proof that is still good at `now`.
    pub fn record(&mut self, part: PartKey, answered_at: Instant, now: Instant) -> bool {
        let was_proven = self.is_sound_at(part, now);
        if self.proven_at.len() >= self.cleanup_size.max(MIN_CLEANUP_SIZE) {
            self.remove_expired(now);
        }
        let known_at = self.proven_at.entry(part).or_insert(answered_at);
        *known_at = answered_at.max(*known_at);
        !was_proven
    }

    /// Deletes expired proofs. The next time is once there are twice as many as are left, so that the
    /// work stays in proportion to the answers.
    fn remove_expired(&mut self, now: Instant) {
        self.proven_at
            .retain(|_, at| now.saturating_duration_since(*at) < PROOF_LIFETIME);
        self.cleanup_size = 2 * self.proven_at.len();
    }

    /// Returns true if the part cannot have caused a crash at this time: a target has written an
    /// answer on it since, or not long before.
    pub fn is_sound_at(&self, part: PartKey, crashed_at: Instant) -> bool {
        let proven_at = self.proven_at.get(&part);
        proven_at.is_some_and(|at| *at + PROOF_LIFETIME > crashed_at)
    }

    /// Returns the time of the part's latest answer.
    pub fn latest(&self, part: PartKey) -> Option<Instant> {
        self.proven_at.get(&part).copied()
    }
}
