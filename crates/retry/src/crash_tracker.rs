use {
    crate::{
        CrashFingerprint, CrashRecord, CrashTrackerSettings, CrashVerdict, RunPermit,
        TargetStrikes, TrackedCall, TrackedCallEnd, crash_entry::CrashEntry,
        crash_record::short_hash, running_calls::RunningCalls,
    },
    base::StageIndex,
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Number of open strikes at which a request is refused; a strike is open until it is cleared.
const STRIKE_LIMIT: u32 = 2;
/// A peer's record extends the expiry of the strikes only if it expires later by more than this.
/// Without this tolerance the transit times of all exchanges between peers would add up, and
/// strikes would never expire.
const MERGE_TOLERANCE: Duration = Duration::from_secs(2);

/// Tracks which requests were running when targets died. A request gets a strike for each such
/// death and is refused after the second, on every entry.
///
/// A request that has not yet completed a stage runs this stage on no more targets at once than it
/// may still crash.
///
/// ```
/// use std::time::Instant;
/// use retry::{
///     CrashTracker, CrashTrackerSettings, CrashVerdict, RunPermit, TrackedCall, TrackedCallEnd,
///     fingerprint,
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
    /// Stages that requests have completed, with the time at which each of these proofs expires.
    proven: BTreeMap<(CrashFingerprint, StageIndex), Instant>,
}

impl CrashTracker {
    /// Creates a tracker without any strikes.
    pub fn new(settings: CrashTrackerSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            running: RunningCalls::default(),
            proven: BTreeMap::new(),
        }
    }

    /// Returns whether the request is clear, suspect or refused.
    pub fn verdict(&self, fingerprint: &CrashFingerprint, now: Instant) -> CrashVerdict {
        match self.open_strikes(fingerprint, now) {
            0 => CrashVerdict::Clear,
            strikes if strikes < STRIKE_LIMIT => CrashVerdict::Suspect,
            _ => CrashVerdict::Refused,
        }
    }

    /// Returns true if the request completed this stage within the last
    /// [`CrashTrackerSettings::lifetime`] and has not crashed a target there since.
    pub fn is_proven(
        &self,
        fingerprint: &CrashFingerprint,
        stage: StageIndex,
        now: Instant,
    ) -> bool {
        let proof_expiry = self.proven.get(&(*fingerprint, stage));
        proof_expiry.is_some_and(|expires_at| *expires_at > now)
    }

    /// Returns how often the call's target died while it ran this stage of the request, cleared
    /// strikes included.
    ///
    /// ```
    /// # use retry::{CrashTracker, CrashTrackerSettings, TrackedCall, TrackedCallEnd, fingerprint};
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
        let matching =
            victims.filter(|victim| victim.target == target && victim.stage == call.stage);
        matching.map(|victim| victim.strikes).sum()
    }

    /// Returns the victims of the request, which are the targets that died while they ran it.
    pub fn victims(&self, fingerprint: &CrashFingerprint) -> impl Iterator<Item = &TargetStrikes> {
        let entry = self.entries.get(fingerprint);
        entry.into_iter().flat_map(|entry| &entry.victims)
    }

    /// Returns for how long a suspect request may still not start a call; `None` if it is not held
    /// back.
    pub fn remaining_hold(&self, fingerprint: &CrashFingerprint, now: Instant) -> Option<Duration> {
        if self.verdict(fingerprint, now) != CrashVerdict::Suspect {
            return None;
        }
        let held_until = self.entries.get(fingerprint)?.held_until?;
        Some(held_until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Registers the call as running if it may start now. A granted call must be ended with
    /// [`Self::finish_call`].
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

    /// Unregisters a granted call and updates the strikes by how it ended.
    pub fn finish_call(&mut self, call: TrackedCall<'_>, end: TrackedCallEnd, now: Instant) {
        let is_already_struck = self.running.remove(call);
        match end {
            TrackedCallEnd::Whole => self.clear_strikes(call, now),
            TrackedCallEnd::TargetDied if !is_already_struck => self.add_strike(call, now),
            TrackedCallEnd::TargetDied | TrackedCallEnd::Other => {}
        }
    }

    /// Merges the record of a peer; the larger of each count wins. If this adds an open strike, the
    /// request is held back for [`CrashTrackerSettings::peer_hold`].
    pub fn merge(&mut self, record: &CrashRecord, now: Instant) {
        let expires_at = now + record.remaining.min(self.settings.lifetime);
        if expires_at <= now {
            return;
        }
        let held_until = now + self.settings.peer_hold;
        let entry = self.live_entry(&record.fingerprint, now);
        if expires_at > entry.expires_at + MERGE_TOLERANCE || entry.victims.is_empty() {
            entry.expires_at = entry.expires_at.max(expires_at);
        }
        let known_strikes = entry.open_strikes();
        entry.merge(&record.victims);
        if entry.open_strikes() > known_strikes {
            entry.hold(held_until);
        }
        self.evict_entries();
    }

    /// Returns up to `limit` records for peers, those that expire last first.
    pub fn records(&self, limit: usize, now: Instant) -> Vec<CrashRecord> {
        let mut live: Vec<_> = self.entries.iter().collect();
        live.retain(|(_, entry)| entry.expires_at > now);
        live.sort_by_key(|(fingerprint, entry)| (Reverse(entry.expires_at), **fingerprint));
        live.truncate(limit);
        live.into_iter()
            .map(|(fingerprint, entry)| CrashRecord {
                fingerprint: *fingerprint,
                victims: entry.victims.clone(),
                remaining: entry.expires_at.saturating_duration_since(now),
            })
            .collect()
    }

    /// Returns the number of requests in the tracker, including those whose strikes have expired.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there is no request in the tracker.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn permit_suspect(&self, call: TrackedCall<'_>, now: Instant) -> RunPermit {
        let is_held = self.remaining_hold(&call.fingerprint, now).is_some();
        if is_held || self.running.is_running(&call.fingerprint) {
            return RunPermit::Later;
        }
        let mut running = self.running.requests_on_target(call.target);
        match running.any(|other| self.open_strikes(other, now) > 0) {
            true => RunPermit::Elsewhere,
            false => RunPermit::Granted,
        }
    }

    fn permit_clear(&self, call: TrackedCall<'_>, now: Instant) -> RunPermit {
        if self.is_proven(&call.fingerprint, call.stage, now) {
            return RunPermit::Granted;
        }
        match self.running.count_other_targets(call) < STRIKE_LIMIT as usize {
            true => RunPermit::Granted,
            false => RunPermit::Later,
        }
    }

    /// Adds a strike because the target died while it ran the call.
    fn add_strike(&mut self, call: TrackedCall<'_>, now: Instant) {
        self.proven.remove(&(call.fingerprint, call.stage));
        let expires_at = now + self.settings.lifetime;
        let held_until = now + self.settings.own_hold;
        let entry = self.live_entry(&call.fingerprint, now);
        entry.hold(held_until);
        entry.expires_at = entry.expires_at.max(expires_at);
        entry.add_strike(call);
        self.running.mark_struck(call);
        self.evict_entries();
    }

    /// Clears the strikes of the request at the stage that it has just completed.
    fn clear_strikes(&mut self, call: TrackedCall<'_>, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&call.fingerprint) {
            entry.clear_stage(call.stage);
        }
        let expires_at = now + self.settings.lifetime;
        self.proven
            .insert((call.fingerprint, call.stage), expires_at);
        if self.proven.len() > self.settings.records {
            let first_to_expire = self
                .proven
                .iter()
                .min_by_key(|(_, expires_at)| **expires_at);
            if let Some((&key, _)) = first_to_expire {
                self.proven.remove(&key);
            }
        }
    }

    fn open_strikes(&self, fingerprint: &CrashFingerprint, now: Instant) -> u32 {
        match self.entries.get(fingerprint) {
            Some(entry) if entry.expires_at > now => entry.open_strikes(),
            _ => 0,
        }
    }

    /// Returns the entry of the request; creates one without strikes if it is absent or expired.
    fn live_entry(&mut self, fingerprint: &CrashFingerprint, now: Instant) -> &mut CrashEntry {
        let entry = self
            .entries
            .entry(*fingerprint)
            .or_insert_with(|| CrashEntry::new(now));
        if entry.expires_at <= now {
            *entry = CrashEntry::new(now);
        }
        entry
    }

    fn evict_entries(&mut self) {
        while self.entries.len() > self.settings.records {
            let first_to_expire = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.expires_at);
            let Some((&fingerprint, _)) = first_to_expire else {
                return;
            };
            self.entries.remove(&fingerprint);
        }
    }
}
