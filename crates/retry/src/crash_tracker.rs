use {
    crate::{
        CrashFingerprint, CrashRecord, TargetStrikes, TrackedCall, crash_entry::CrashEntry,
        crash_record::short_hash, running_calls::RunningCalls,
    },
    base::StageIndex,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Strikes at which a request is refused.
const REFUSED_STRIKES: u32 = 2;
/// A peer's record counts as later only beyond this, so that time under way adds up nowhere.
const MERGE_SLACK: Duration = Duration::from_secs(2);

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashTrackerSettings {
    /// Time for which a strike counts.
    #[serde(with = "humantime_serde")]
    pub lifetime: Duration,
    /// Requests that are remembered at most.
    pub records: usize,
    /// Time for which a request that a peer has struck is held, so that the peer alone tries it
    /// again.
    pub peer_hold: Duration,
    /// Time for which a request is held after a strike of this entry, so that peers hear of it
    /// and what they saw is heard here.
    pub own_hold: Duration,
}

impl Default for CrashTrackerSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            records: 4_096,
            peer_hold: Duration::from_secs(2),
            own_hold: Duration::ZERO,
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
    /// Not now: the same request runs already, here or at a peer, and how that ends decides; ask
    /// again shortly.
    Later,
    /// It may run nowhere.
    Refused,
}

/// How a run that was permitted ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrackedCallEnd {
    /// The target answered whole.
    Whole,
    /// The target died with the request running: its process is gone, which a refused dial
    /// shows. A lost connection alone is no proof and ends as `Other`, or a fault of the network
    /// would pass for a crash.
    TargetDied,
    /// Anything else, for instance a cancelled call.
    Other,
}

/// Remembers which requests targets died of, so that one that crashes its targets is stopped
/// at the second, whichever entries it is sent to.
///
/// A request that has not yet shown that it can run to its end runs on no more targets at once
/// than it may still crash.
///
/// ```
/// use std::time::Instant;
/// use retry::{
///     CrashTracker, CrashVerdict, CrashTrackerSettings, TrackedCallEnd, RunPermit, TrackedCall, fingerprint,
/// };
///
/// let now = Instant::now();
/// let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
/// let fingerprint = fingerprint("farm", "receipts", b"body");
/// for target in ["t1", "t2"] {
///     let call = TrackedCall { fingerprint, stage: 0, target };
///     assert_eq!(tracker.try_start_call(call, now), RunPermit::Granted);
///     tracker.finish_call(call, TrackedCallEnd::TargetDied, now);
/// }
/// assert_eq!(tracker.verdict(&fingerprint, now), CrashVerdict::Refused);
///
/// let mut peer = CrashTracker::new(CrashTrackerSettings::default());
/// for record in tracker.records(8, now) {
///     peer.merge(&record, now);
/// }
/// assert_eq!(peer.verdict(&fingerprint, now), CrashVerdict::Refused);
/// ```
#[derive(Debug, Clone)]
pub struct CrashTracker {
    settings: CrashTrackerSettings,
    entries: BTreeMap<CrashFingerprint, CrashEntry>,
    running: RunningCalls,
    proven: BTreeMap<(CrashFingerprint, StageIndex), Instant>,
}

impl CrashTracker {
    /// Ledger that knows of no crash.
    pub fn new(settings: CrashTrackerSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            running: RunningCalls::default(),
            proven: BTreeMap::new(),
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

    /// True if the request has run this stage to its end lately.
    pub fn is_proven(
        &self,
        fingerprint: &CrashFingerprint,
        stage: StageIndex,
        now: Instant,
    ) -> bool {
        let proven = self.proven.get(&(*fingerprint, stage));
        proven.is_some_and(|until| *until > now)
    }

    /// Times that the call's target died while it ran this stage of the request.
    ///
    /// ```
    /// # use retry::{CrashTracker, CrashTrackerSettings, TrackedCallEnd, TrackedCall, fingerprint};
    /// # let now = std::time::Instant::now();
    /// let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    /// let fingerprint = fingerprint("farm", "receipts", b"body");
    /// let call = TrackedCall { fingerprint, stage: 0, target: "t1" };
    /// tracker.try_start_call(call, now);
    /// tracker.finish_call(call, TrackedCallEnd::TargetDied, now);
    /// assert_eq!(tracker.strikes_at(call), 1);
    /// assert_eq!(tracker.victims(&fingerprint).count(), 1);
    /// ```
    pub fn strikes_at(&self, call: TrackedCall<'_>) -> u32 {
        let target = short_hash(call.target);
        let victims = self.victims(&call.fingerprint);
        let same = victims.filter(|row| row.target == target && row.stage == call.stage);
        same.map(|row| row.strikes).sum()
    }

    /// Targets that died while they ran the request.
    pub fn victims(&self, fingerprint: &CrashFingerprint) -> impl Iterator<Item = &TargetStrikes> {
        let entry = self.entries.get(fingerprint);
        entry.into_iter().flat_map(|entry| &entry.victims)
    }

    /// Time for which a suspect is still held; `None` if it is not.
    pub fn remaining_hold(&self, fingerprint: &CrashFingerprint, now: Instant) -> Option<Duration> {
        if self.verdict(fingerprint, now) != CrashVerdict::Suspect {
            return None;
        }
        let until = self.entries.get(fingerprint)?.held_until?;
        Some(until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Asks whether the call may run now; a granted call must be finished.
    pub fn try_start_call(&mut self, call: TrackedCall<'_>, now: Instant) -> RunPermit {
        let permit = match self.verdict(&call.fingerprint, now) {
            CrashVerdict::Refused => RunPermit::Refused,
            CrashVerdict::Suspect => self.permit_suspect(call, now),
            CrashVerdict::Clear => self.permit_clear(call, now),
        };
        if permit == RunPermit::Granted {
            self.running.insert(call);
        }
        permit
    }

    /// Records how a granted call ended.
    pub fn finish_call(&mut self, call: TrackedCall<'_>, end: TrackedCallEnd, now: Instant) {
        let struck = self.running.remove(call);
        match end {
            TrackedCallEnd::Whole => self.absolve(call, now),
            TrackedCallEnd::TargetDied if !struck => self.strike(call, now),
            TrackedCallEnd::TargetDied | TrackedCallEnd::Other => {}
        }
    }

    /// Takes in what a peer knows; the larger of each count wins. A request with a new strike
    /// is held.
    pub fn merge(&mut self, record: &CrashRecord, now: Instant) {
        let until = now + record.remaining.min(self.settings.lifetime);
        if until <= now {
            return;
        }
        let held_until = now + self.settings.peer_hold;
        let entry = self.live_entry(&record.fingerprint, now);
        if until > entry.until + MERGE_SLACK || entry.victims.is_empty() {
            entry.until = entry.until.max(until);
        }
        let known = entry.strikes();
        entry.merge(&record.victims);
        if entry.strikes() > known {
            entry.hold(held_until);
        }
        self.make_room();
    }

    /// Records for peers, those that hold longest first.
    pub fn records(&self, limit: usize, now: Instant) -> Vec<CrashRecord> {
        let mut live: Vec<_> = self.entries.iter().collect();
        live.retain(|(_, entry)| entry.until > now);
        live.sort_by_key(|(fingerprint, entry)| (Reverse(entry.until), **fingerprint));
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

    fn permit_suspect(&self, call: TrackedCall<'_>, now: Instant) -> RunPermit {
        let held = self.remaining_hold(&call.fingerprint, now).is_some();
        if held || self.running.is_running(&call.fingerprint) {
            return RunPermit::Later;
        }
        let mut running = self.running.on_target(call.target);
        match running.any(|other| self.strikes(other, now) > 0) {
            true => RunPermit::Elsewhere,
            false => RunPermit::Granted,
        }
    }

    fn permit_clear(&self, call: TrackedCall<'_>, now: Instant) -> RunPermit {
        if self.is_proven(&call.fingerprint, call.stage, now) {
            return RunPermit::Granted;
        }
        match self.running.other_targets(call) < REFUSED_STRIKES as usize {
            true => RunPermit::Granted,
            false => RunPermit::Later,
        }
    }

    /// Gives the request a strike because the target died while it ran the call.
    fn strike(&mut self, call: TrackedCall<'_>, now: Instant) {
        self.proven.remove(&(call.fingerprint, call.stage));
        let until = now + self.settings.lifetime;
        let held_until = now + self.settings.own_hold;
        let entry = self.live_entry(&call.fingerprint, now);
        entry.hold(held_until);
        entry.until = entry.until.max(until);
        entry.strike(call);
        self.running.mark_struck(call);
        self.make_room();
    }

    /// Clears the request of its strikes at the stage, since that has run to its end.
    fn absolve(&mut self, call: TrackedCall<'_>, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&call.fingerprint) {
            entry.clear(call.stage);
        }
        let until = now + self.settings.lifetime;
        self.proven.insert((call.fingerprint, call.stage), until);
        if self.proven.len() > self.settings.records {
            let oldest = self.proven.iter().min_by_key(|(_, until)| **until);
            if let Some((&key, _)) = oldest {
                self.proven.remove(&key);
            }
        }
    }

    fn strikes(&self, fingerprint: &CrashFingerprint, now: Instant) -> u32 {
        match self.entries.get(fingerprint) {
            Some(entry) if entry.until > now => entry.strikes(),
            _ => 0,
        }
    }

    fn live_entry(&mut self, fingerprint: &CrashFingerprint, now: Instant) -> &mut CrashEntry {
        let entry = self
            .entries
            .entry(*fingerprint)
            .or_insert_with(|| CrashEntry::new(now));
        if entry.until <= now {
            *entry = CrashEntry::new(now);
        }
        entry
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
