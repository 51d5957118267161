use {
    crate::{CrashFingerprint, CrashRecord, TargetStrikes, crash_record::target_hash},
    base::TargetId,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Strikes at which a request is refused.
const REFUSED_STRIKES: u32 = 2;
/// Victims that one record names; a request has no more before it is refused, but peers that
/// do not hear of each other may each add some.
const RECORD_VICTIMS: usize = 8;
/// A peer's record counts as later only beyond this, so that time under way adds up nowhere.
const MERGE_SLACK: Duration = Duration::from_secs(2);

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Time for which a strike counts.
    pub lifetime: Duration,
    /// Requests that are remembered at most.
    pub records: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            records: 4_096,
        }
    }
}

/// What is known of a request's crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No target is known to have died of it.
    Clear,
    /// It may have crashed a target; it runs only alone among suspects on its target.
    Suspect,
    /// It has crashed too many targets and is not run.
    Refused,
}

/// Whether a request may run on a certain target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermit {
    /// It may, and is on record as running there.
    Granted,
    /// Not on this target; another may do.
    Elsewhere,
    /// Not now: the same request runs already, and its end decides.
    Later,
    /// It may run nowhere.
    Refused,
}

/// How a run that was permitted ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The target answered whole.
    Whole,
    /// The target died with the request running.
    TargetDied,
    /// Anything else, for instance a cancelled call.
    Other,
}

#[derive(Debug, Clone)]
struct Entry {
    victims: Vec<TargetStrikes>,
    until: Instant,
}

impl Entry {
    fn strikes(&self) -> u32 {
        let open = |victim: &TargetStrikes| victim.strikes.saturating_sub(victim.cleared);
        self.victims.iter().map(open).sum()
    }

    fn victim(&mut self, target: u64) -> Option<&mut TargetStrikes> {
        let place = self.victims.iter().position(|row| row.target == target);
        if place.is_none() && self.victims.len() < RECORD_VICTIMS {
            self.victims.push(TargetStrikes {
                target,
                strikes: 0,
                cleared: 0,
            });
        }
        let place = place.unwrap_or(self.victims.len() - 1);
        self.victims
            .get_mut(place)
            .filter(|row| row.target == target)
    }
}

/// Remembers which requests targets died of, so that one that crashes its targets is stopped
/// at the second, whichever entries it is sent to.
///
/// ```
/// use std::time::Instant;
/// use retry::{CrashLedger, CrashVerdict, LedgerSettings, RunEnd, RunPermit, fingerprint};
///
/// let now = Instant::now();
/// let mut ledger = CrashLedger::new(LedgerSettings::default());
/// let request = fingerprint("farm", "receipts", b"body");
/// for target in ["t1", "t2"] {
///     assert_eq!(ledger.permit(&request, target, now), RunPermit::Granted);
///     ledger.finish(&request, target, RunEnd::TargetDied, now);
/// }
/// assert_eq!(ledger.verdict(&request, now), CrashVerdict::Refused);
/// ```
#[derive(Debug, Clone)]
pub struct CrashLedger {
    settings: LedgerSettings,
    entries: BTreeMap<CrashFingerprint, Entry>,
    running: BTreeMap<CrashFingerprint, Vec<TargetId>>,
}

impl CrashLedger {
    /// Ledger that knows of no crash.
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// What is known of a request.
    pub fn verdict(&self, fingerprint: &CrashFingerprint, now: Instant) -> CrashVerdict {
        match self.strikes(fingerprint, now) {
            0 => CrashVerdict::Clear,
            strikes if strikes < REFUSED_STRIKES => CrashVerdict::Suspect,
            _ => CrashVerdict::Refused,
        }
    }

    /// Asks whether the request may run on the target now; a granted run must be finished.
    pub fn permit(
        &mut self,
        fingerprint: &CrashFingerprint,
        target: &str,
        now: Instant,
    ) -> RunPermit {
        let verdict = self.verdict(fingerprint, now);
        let permit = match verdict {
            CrashVerdict::Refused => RunPermit::Refused,
            CrashVerdict::Suspect if self.running.contains_key(fingerprint) => RunPermit::Later,
            CrashVerdict::Suspect if self.has_suspect(target, now) => RunPermit::Elsewhere,
            CrashVerdict::Suspect | CrashVerdict::Clear => RunPermit::Granted,
        };
        if permit == RunPermit::Granted {
            let running = self.running.entry(*fingerprint).or_default();
            running.push(target.to_string());
        }
        permit
    }

    /// Records how a granted run ended.
    pub fn finish(
        &mut self,
        fingerprint: &CrashFingerprint,
        target: &str,
        end: RunEnd,
        now: Instant,
    ) {
        self.forget_run(fingerprint, target);
        match end {
            RunEnd::Whole => self.absolve(fingerprint),
            RunEnd::TargetDied => self.strike(fingerprint, target, now),
            RunEnd::Other => {}
        }
    }

    /// Gives the request a strike because the target died while it ran it.
    pub fn strike(&mut self, fingerprint: &CrashFingerprint, target: &str, now: Instant) {
        let until = now + self.settings.lifetime;
        let entry = self.live_entry(fingerprint, now);
        entry.until = entry.until.max(until);
        if let Some(victim) = entry.victim(target_hash(target)) {
            victim.strikes += 1;
        }
        self.make_room();
    }

    /// Clears the request of its strikes, since it has run to its end.
    pub fn absolve(&mut self, fingerprint: &CrashFingerprint) {
        if let Some(entry) = self.entries.get_mut(fingerprint) {
            for victim in &mut entry.victims {
                victim.cleared = victim.strikes;
            }
        }
    }

    /// Takes in what a peer knows; the larger of each count wins.
    pub fn merge(&mut self, record: &CrashRecord, now: Instant) {
        let until = now + record.remaining.min(self.settings.lifetime);
        if until <= now {
            return;
        }
        let entry = self.live_entry(&record.fingerprint, now);
        if until > entry.until + MERGE_SLACK || entry.victims.is_empty() {
            entry.until = entry.until.max(until);
        }
        for row in record.victims.iter().take(RECORD_VICTIMS) {
            if let Some(victim) = entry.victim(row.target) {
                victim.strikes = victim.strikes.max(row.strikes);
                victim.cleared = victim.cleared.max(row.cleared);
            }
        }
        self.make_room();
    }

    /// Records for peers, those that hold longest first.
    pub fn records(&self, limit: usize, now: Instant) -> Vec<CrashRecord> {
        let mut live: Vec<_> = self.entries.iter().collect();
        live.retain(|(_, entry)| entry.until > now);
        live.sort_by_key(|(fingerprint, entry)| (std::cmp::Reverse(entry.until), **fingerprint));
        live.truncate(limit);
        live.into_iter()
            .map(|(fingerprint, entry)| CrashRecord {
                fingerprint: *fingerprint,
                victims: entry.victims.clone(),
                remaining: entry.until.saturating_duration_since(now),
            })
            .collect()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn strikes(&self, fingerprint: &CrashFingerprint, now: Instant) -> u32 {
        match self.entries.get(fingerprint) {
            Some(entry) if entry.until > now => entry.strikes(),
            _ => 0,
        }
    }

    fn has_suspect(&self, target: &str, now: Instant) -> bool {
        self.running.iter().any(|(fingerprint, targets)| {
            targets.iter().any(|name| name == target) && self.strikes(fingerprint, now) > 0
        })
    }

    fn live_entry(&mut self, fingerprint: &CrashFingerprint, now: Instant) -> &mut Entry {
        let fresh = Entry {
            victims: Vec::new(),
            until: now,
        };
        let entry = self.entries.entry(*fingerprint).or_insert(fresh);
        if entry.until <= now {
            entry.victims.clear();
        }
        entry
    }

    fn forget_run(&mut self, fingerprint: &CrashFingerprint, target: &str) {
        let Some(targets) = self.running.get_mut(fingerprint) else {
            return;
        };
        if let Some(place) = targets.iter().position(|name| name == target) {
            targets.swap_remove(place);
        }
        if targets.is_empty() {
            self.running.remove(fingerprint);
        }
    }

    fn make_room(&mut self) {
        while self.entries.len() > self.settings.records {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.until);
            let Some((&fingerprint, _)) = oldest else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }
}
