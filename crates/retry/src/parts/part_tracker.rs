use {
    crate::{
        CrashKey, PartChange, PartCrash, PartKey, PartNews, PartProof, PartVerdict,
        parts::{
            part_blame::{CrashRow, Suspicion, blamed_parts, resembles_crash, suspect_parts},
            part_evidence::is_request_key,
            part_proofs::PartProofs,
        },
    },
    base::StableHash,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time after the last crash under a part after which its crashes are forgotten. It is longer than
/// any time to the next trial.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(30 * 60);
/// Maximum number of crashes that are kept, the latest ones.
const MAX_CRASHES: usize = 128;
/// Time by which a request that resembles those under which targets crashed waits longer for its
/// trial. By then requests with some of its parts have been tried, where there are any.
const JOINT_TRIAL_DELAY: Duration = Duration::from_secs(20);

/// Finds parts of prompts, and whole requests, that crash targets, from the crashes and answers of all
/// entries. A whole request counts as one more part, see [`request_key`](crate::request_key).
///
/// A crash is blamed on the parts of the requests that the target had, but had not begun to answer;
/// an answer shows that its prompt's parts are sound. Two crashes make a part suspect. Requests with
/// it are held, and one at a time tries it: after a second, then at ever longer intervals. All
/// entries that know the same crashes and answers suspect the same parts.
///
/// ```
/// use retry::{PartTracker, PartVerdict};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut tracker = PartTracker::default();
/// let (system, bad) = (1, 2);
/// tracker.record_answer(&[system], now);
/// tracker.record_crash(100, &[system, bad], false, now);
/// assert_eq!(tracker.verdict(&[system, bad], now), PartVerdict::Clear);
/// tracker.record_crash(101, &[system, bad], false, now);
/// assert!(matches!(tracker.verdict(&[system, bad], now), PartVerdict::Held { part: 2, .. }));
/// assert_eq!(tracker.verdict(&[system], now), PartVerdict::Clear);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PartTracker {
    rows: BTreeMap<CrashKey, CrashRow>,
    proofs: PartProofs,
    suspects: BTreeMap<PartKey, Suspicion>,
    /// Parts that a crash is blamed on, suspect or not.
    accused: BTreeSet<PartKey>,
    changes: Vec<PartChange>,
}

impl PartTracker {
    /// Records that a target's process ended under a request with these parts before it began to
    /// answer. Returns true if this is news for other entries.
    pub fn record_crash(
        &mut self,
        crash: CrashKey,
        parts: &[PartKey],
        is_trial: bool,
        now: Instant,
    ) -> bool {
        let is_blamed = |part: &PartKey| !self.proofs.is_sound_at(*part, now);
        let blamed: Vec<PartKey> = parts.iter().copied().filter(is_blamed).collect();
        let is_news = self.add_crash(crash, &blamed, is_trial, now);
        if is_news {
            self.update();
        }
        is_news
    }

    /// Records that a target answers a request with these parts. Returns true if this is news for
    /// other entries, that is if a crash is blamed on one of the parts.
    pub fn record_answer(&mut self, parts: &[PartKey], now: Instant) -> bool {
        let mut is_news = false;
        for part in parts {
            let is_first = self.proofs.record(*part, now, now);
            is_news |= self.accused.contains(part) && is_first;
        }
        if is_news {
            self.update();
        }
        is_news
    }

    /// Returns true if a crash is blamed on any part or request, so that an answer may clear it.
    pub fn has_accused(&self) -> bool {
        !self.accused.is_empty()
    }

    /// Returns true if this part or request is suspect.
    pub fn is_suspect(&self, part: PartKey) -> bool {
        self.suspects.contains_key(&part)
    }

    /// Returns true if an answer shows that this part or request was not to blame for a crash at that
    /// time.
    pub fn is_cleared(&self, part: PartKey, crashed_at: Instant) -> bool {
        self.proofs.is_sound_at(part, crashed_at)
    }

    /// Returns true if any part or request is suspect.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Merges what another entry tells. Returns this entry's own proofs for parts that the other
    /// one blames a crash on.
    pub fn merge(&mut self, news: &PartNews, now: Instant) -> Vec<PartProof> {
        let mut has_changed = false;
        for proof in &news.proofs {
            let answered_at = now.checked_sub(proof.age).unwrap_or(now);
            has_changed |= self.proofs.record(proof.part, answered_at, now);
        }
        let mut own_proofs = BTreeSet::new();
        for crash in &news.crashes {
            let crashed_at = now.checked_sub(crash.age).unwrap_or(now);
            let sound = |part: &&PartKey| self.proofs.is_sound_at(**part, crashed_at);
            own_proofs.extend(crash.parts.iter().filter(sound).copied());
            has_changed |= self.add_crash(crash.crash, &crash.parts, crash.is_trial, crashed_at);
        }
        if has_changed {
            self.update();
        }
        let own_proofs = own_proofs.into_iter();
        own_proofs
            .filter_map(|part| self.proof(part, now))
            .collect()
    }

    /// Returns whether a request with these parts may be sent.
    pub fn verdict(&self, parts: &[PartKey], now: Instant) -> PartVerdict {
        let suspects: Vec<PartKey> = parts
            .iter()
            .copied()
            .filter(|part| self.suspects.contains_key(part))
            .collect();
        let trial_times = suspects.iter().map(|part| self.suspects[part].trial_at);
        let Some(mut trial_at) = trial_times.max() else {
            return PartVerdict::Clear;
        };
        if resembles_crash(parts, &self.rows, &self.proofs, &self.suspects) {
            trial_at += JOINT_TRIAL_DELAY;
        }
        match trial_at.saturating_duration_since(now) {
            Duration::ZERO => PartVerdict::Trial { parts: suspects },
            retry_in => PartVerdict::Held {
                part: suspects[0],
                retry_in,
            },
        }
    }

    /// Returns what this entry knows of at most this age, for other entries. Whole requests are left out,
    /// here and in the digest: far more of them end with their targets than parts that many share.
    pub fn news(&self, max_age: Duration, now: Instant) -> PartNews {
        let is_new = |at: Instant| now.saturating_duration_since(at) <= max_age;
        let new_rows = self.rows.iter().filter(|(_, row)| is_new(row.at));
        let crashes = new_rows.map(|(crash, row)| PartCrash {
            crash: *crash,
            parts: row.shared_parts().collect(),
            is_trial: row.is_trial,
            age: now.saturating_duration_since(row.at),
        });
        let crashes = crashes.filter(|crash| !crash.parts.is_empty());
        let blamed = self.rows.values().flat_map(CrashRow::shared_parts);
        let blamed: BTreeSet<PartKey> = blamed.collect();
        let proofs = blamed.into_iter().filter_map(|part| self.proof(part, now));
        PartNews {
            crashes: crashes.collect(),
            proofs: proofs.filter(|proof| proof.age <= max_age).collect(),
        }
    }

    /// Returns a hash of the crashes and of the parts they are blamed on, which two entries compare
    /// in place of all their news.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let (mut one, mut other) = (retry::PartTracker::default(), retry::PartTracker::default());
    /// one.record_crash(100, &[1], false, now);
    /// assert_ne!(one.digest(), other.digest());
    /// other.merge(&one.news(retry::CRASH_LIFETIME, now), now);
    /// assert_eq!(one.digest(), other.digest());
    /// ```
    pub fn digest(&self) -> u64 {
        let mut hash = StableHash::new();
        let is_shared = |row: &&CrashRow| row.shared_parts().next().is_some();
        for (crash, row) in self.rows.iter().filter(|(_, row)| is_shared(row)) {
            hash = hash.with_number(*crash);
            hash = row.shared_parts().fold(hash, StableHash::with_number);
        }
        let accused = self.accused.iter();
        let accused = accused.filter(|part| !is_request_key(**part));
        accused
            .fold(hash, |hash, part| hash.with_number(*part))
            .finish()
    }

    /// Deletes crashes that are too old to count.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_live = |row: &CrashRow| now.saturating_duration_since(row.at) < CRASH_LIFETIME;
        if self.rows.values().all(is_live) {
            return;
        }
        // All crashes under a part are kept for as long as the last one, since they count together.
        let live_rows = self.rows.values().filter(|row| is_live(row));
        let live_parts: BTreeSet<PartKey> = live_rows.flat_map(|row| row.parts.clone()).collect();
        self.rows
            .retain(|_, row| !row.parts.is_disjoint(&live_parts));
        self.update();
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Adds a crash, or parts of a crash that is known. Returns true if there was something to add.
    fn add_crash(
        &mut self,
        crash: CrashKey,
        parts: &[PartKey],
        is_trial: bool,
        crashed_at: Instant,
    ) -> bool {
        if parts.is_empty() {
            return false;
        }
        let row = self.rows.entry(crash).or_insert_with(|| CrashRow {
            parts: BTreeSet::new(),
            is_trial: false,
            at: crashed_at,
        });
        let known_count = row.parts.len();
        let was_trial = row.is_trial;
        row.parts.extend(parts);
        row.is_trial |= is_trial;
        let is_news = row.parts.len() > known_count || row.is_trial != was_trial;
        while self.rows.len() > MAX_CRASHES {
            let oldest = self.rows.iter().min_by_key(|(_, row)| row.at);
            let Some((&oldest, _)) = oldest else { break };
            self.rows.remove(&oldest);
        }
        is_news
    }

    /// Returns the proof that a part is sound, if there is one that still counts for a crash.
    fn proof(&self, part: PartKey, now: Instant) -> Option<PartProof> {
        let proven_at = self.proofs.latest(part)?;
        Some(PartProof {
            part,
            age: now.saturating_duration_since(proven_at),
        })
    }

    /// Finds the accused and suspect parts again, after a change of the crashes or proofs.
    fn update(&mut self) {
        let rows = self.rows.values();
        self.accused = rows
            .flat_map(|row| blamed_parts(row, &self.proofs))
            .collect();
        let before = std::mem::take(&mut self.suspects);
        self.suspects = suspect_parts(&self.rows, &self.proofs);
        let suspected = self
            .suspects
            .iter()
            .filter(|(part, _)| !before.contains_key(part));
        let suspected = suspected.map(|(part, suspicion)| PartChange::Suspected {
            part: *part,
            crashes: suspicion.crashes,
        });
        let cleared = before
            .keys()
            .filter(|part| !self.suspects.contains_key(part));
        let cleared = cleared.map(|part| PartChange::Cleared { part: *part });
        self.changes.extend(suspected.chain(cleared));
    }
}
