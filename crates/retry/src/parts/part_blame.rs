use {
    crate::{
        CrashKey, PartKey,
        parts::{part_evidence::is_request_key, part_proofs::PartProofs},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Number of crashes from which on a part is suspect.
const SUSPECT_CRASHES: usize = 2;
/// Times from the last crash under a suspect part to its next trial, by the number of trials that
/// ended in a crash; the last one holds for all further trials.
const TRIAL_DELAYS: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(20),
    Duration::from_secs(120),
    Duration::from_secs(600),
];

/// The same of a whole request. Many requests wait for the trial of a part that they share, few for that
/// of one request.
const REQUEST_TRIAL_DELAYS: [Duration; 4] = [
    Duration::from_secs(5),
    Duration::from_secs(20),
    Duration::from_secs(120),
    Duration::from_secs(600),
];

/// A crash as an entry knows it.
#[derive(Debug, Clone)]
pub struct CrashRow {
    /// Parts of which one may be to blame.
    pub parts: BTreeSet<PartKey>,
    /// True if a request was a trial.
    pub is_trial: bool,
    pub at: Instant,
}

impl CrashRow {
    /// Returns the parts that are no whole requests.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartKey> {
        let parts = self.parts.iter().copied();
        parts.filter(|part| !is_request_key(*part))
    }
}

/// What is held against a suspect part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of crashes under the part.
    pub crashes: usize,
    /// Time of the last of them.
    pub last_at: Instant,
    /// Time from which on a request with the part may be tried.
    pub trial_at: Instant,
}

/// Returns the suspect parts: the fewest that explain the crashes, each of which has two or more.
///
/// It answers this load pattern: a part that crashes each target comes in requests that share
/// their other parts with sound ones, and targets that end take sound requests with them. The part
/// that was there most often is taken first, with all that were there as often, and the crashes
/// that it explains are left out for the others.
pub fn suspect_parts(
    rows: &BTreeMap<CrashKey, CrashRow>,
    proofs: &PartProofs,
) -> BTreeMap<PartKey, Suspicion> {
    let mut unexplained: Vec<BTreeSet<PartKey>> = rows
        .values()
        .map(|row| blamed_parts(row, proofs).collect())
        .collect();
    let mut suspects = BTreeMap::new();
    loop {
        let counts = count_crashes(&unexplained);
        let max_count = counts.values().copied().max().unwrap_or(0);
        if max_count < SUSPECT_CRASHES {
            return suspects;
        }
        let found = counts.iter().filter(|(_, count)| **count == max_count);
        let found: Vec<PartKey> = found.map(|(part, _)| *part).collect();
        unexplained.retain(|parts| !found.iter().any(|part| parts.contains(part)));
        suspects.extend(
            found
                .into_iter()
                .map(|part| (part, suspicion(part, rows, proofs))),
        );
    }
}

/// Returns true if a request with these parts resembles those under which targets crashed: it has
/// all parts that a crash is blamed on, or all of them that are suspect. A trial of such a request
/// tells little, while one that has only some of the parts clears or convicts just these.
pub fn resembles_crash(
    parts: &[PartKey],
    rows: &BTreeMap<CrashKey, CrashRow>,
    proofs: &PartProofs,
    suspects: &BTreeMap<PartKey, Suspicion>,
) -> bool {
    let has_all = |blamed: &[PartKey]| {
        let is_ambiguous = blamed.len() > 1;
        is_ambiguous && blamed.iter().all(|part| parts.contains(part))
    };
    rows.values().any(|row| {
        let blamed: Vec<PartKey> = blamed_parts(row, proofs).collect();
        let suspect = blamed.iter().filter(|part| suspects.contains_key(part));
        let suspect: Vec<PartKey> = suspect.copied().collect();
        has_all(&blamed) || has_all(&suspect)
    })
}

/// Returns the parts of a crash that no answer has shown to be sound.
pub fn blamed_parts(row: &CrashRow, proofs: &PartProofs) -> impl Iterator<Item = PartKey> {
    let is_blamed = |part: &PartKey| !proofs.is_sound_at(*part, row.at);
    row.parts.iter().copied().filter(is_blamed)
}

fn count_crashes(crashes: &[BTreeSet<PartKey>]) -> BTreeMap<PartKey, usize> {
    let mut counts = BTreeMap::new();
    for part in crashes.iter().flatten() {
        *counts.entry(*part).or_insert(0) += 1;
    }
    counts
}

fn suspicion(part: PartKey, rows: &BTreeMap<CrashKey, CrashRow>, proofs: &PartProofs) -> Suspicion {
    let blames_part = |row: &&CrashRow| blamed_parts(row, proofs).any(|blamed| blamed == part);
    let crashes: Vec<&CrashRow> = rows.values().filter(blames_part).collect();
    let failed_trials = crashes.iter().filter(|row| row.is_trial).count();
    let delays = match is_request_key(part) {
        true => REQUEST_TRIAL_DELAYS,
        false => TRIAL_DELAYS,
    };
    let delay = delays[failed_trials.min(delays.len() - 1)];
    let last_at = crashes.iter().map(|row| row.at).max();
    let last_at = last_at.expect("a suspect part has crashes");
    Suspicion {
        crashes: crashes.len(),
        last_at,
        trial_at: last_at + delay,
    }
}
