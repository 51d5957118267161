use {
    crate::MachinePace,
    plan::{PieceSpec, TargetRow},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Backoff after the first failed or refused call; it doubles with each further one in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Time for which the room of a target is capped after a result found no room there.
const ROOM_CAP_TIME: Duration = Duration::from_millis(300);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Weight of the newest call in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// A result that takes up room at a target.
#[derive(Debug, Clone, Copy)]
struct HeldResult {
    bytes: u64,
    /// Time at which the target evicts the result unless it was freed before.
    expires_at: Instant,
}

/// Load and free room of one stage target, as known to the entry that batches calls to it.
#[derive(Debug)]
pub struct BatchTarget {
    /// Data centre of the target.
    pub data_centre: String,
    /// Number of calls that are running at the target.
    pub running_calls: u32,
    /// Time at which the latest call is expected to end.
    pub busy_until: Instant,
    /// Moving average of the measured time of the target's calls divided by the time expected at a
    /// target of average speed.
    pub slowness: f64,
    /// Results that the target stores, by name.
    held_results: BTreeMap<String, HeldResult>,
    /// Room reserved for the results of running calls.
    reserved_bytes: u64,
    /// Upper bound of the free room in bytes, and the time until which it applies.
    room_cap: Option<(u64, Instant)>,
    backoff_until: Option<Instant>,
    /// True if the target gets no new work.
    pub leaving: bool,
    /// Time until which the target wants no calls.
    paused_until: Option<Instant>,
    /// Time until which other entries use all calls that the target takes.
    pub held_until: Option<Instant>,
    /// Start time of the target's process in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    consecutive_failures: u32,
    /// What the target said last of its machine; `None` if it says nothing.
    pace: Option<MachinePace>,
}

impl BatchTarget {
    /// Creates an idle target with no results.
    pub fn new(row: &TargetRow, now: Instant) -> Self {
        Self {
            data_centre: row.data_centre.clone(),
            leaving: row.leaving,
            paused_until: None,
            held_until: None,
            started_ms: row.started_ms,
            running_calls: 0,
            busy_until: now,
            slowness: 1.0,
            held_results: BTreeMap::new(),
            reserved_bytes: 0,
            room_cap: None,
            backoff_until: None,
            consecutive_failures: 0,
            pace: None,
        }
    }

    /// Records what the target said of its machine.
    pub fn set_pace(&mut self, pace: MachinePace) {
        self.pace = Some(pace);
    }

    /// Returns the factor by which a call takes longer here now than at a target of average speed.
    pub fn slowness_now(&self, now: Instant) -> f64 {
        self.slowness * self.pace.map_or(1.0, |pace| pace.factor(now))
    }

    /// True if the target has a free slot and takes calls.
    pub fn can_start_call(&self, spec: &PieceSpec, now: Instant) -> bool {
        self.running_calls < spec.slots && self.takes_calls(now)
    }

    /// True if the target is not leaving, in backoff, or in a pause that it asked for.
    pub fn takes_calls(&self, now: Instant) -> bool {
        let is_past = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        !self.leaving && is_past(self.backoff_until) && !self.is_paused(now)
    }

    /// True while the target takes no calls at all.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until().is_some_and(|until| until > now)
    }

    /// Returns the time until which the target takes no calls of this entry, which may have passed;
    /// `None` if it always did.
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until.max(self.held_until)
    }

    /// Sets whether the target is leaving, and until when it wants no calls.
    pub fn apply_notice(&mut self, leaving: bool, paused_until: Option<Instant>) {
        self.leaving |= leaving;
        self.paused_until = paused_until;
    }

    /// Returns the end of the latest backoff, which may have passed; `None` if no call failed since
    /// the last success.
    pub fn backoff_until(&self) -> Option<Instant> {
        self.backoff_until
    }

    /// Returns the bytes that further results may take up; forgets results that have expired.
    pub fn room(&mut self, spec: &PieceSpec, now: Instant) -> u64 {
        self.held_results
            .retain(|_, result| result.expires_at > now);
        let held: u64 = self.held_results.values().map(|result| result.bytes).sum();
        let room = spec
            .result_memory_bytes
            .saturating_sub(held + self.reserved_bytes);
        match self.room_cap {
            Some((cap, until)) if until > now => room.min(cap),
            _ => room,
        }
    }

    /// Records the start of a call and reserves room for its results.
    ///
    /// `expected_time` is the time of the call at a target of average speed.
    pub fn start_call(&mut self, bytes: u64, expected_time: Duration, now: Instant) {
        self.running_calls += 1;
        self.reserved_bytes += bytes;
        self.busy_until = now + expected_time.mul_f64(self.slowness_now(now));
    }

    /// Records that a call succeeded after `elapsed`.
    ///
    /// `expected_time` is the time of the call at a target of average speed.
    pub fn finish_call(&mut self, bytes: u64, elapsed: Duration, expected_time: Duration) {
        self.end_call(bytes);
        self.consecutive_failures = 0;
        self.backoff_until = None;
        let ratio = elapsed.as_secs_f64() / expected_time.as_secs_f64().max(0.001);
        self.slowness += SLOWNESS_WEIGHT * (ratio.clamp(0.2, 20.0) - self.slowness);
    }

    /// Records that a call failed or was refused, and starts a backoff.
    pub fn fail_call(&mut self, bytes: u64, now: Instant) {
        self.end_call(bytes);
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.consecutive_failures.min(6));
        self.consecutive_failures += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Records that a result of this size found no room, and caps the room below that size for
    /// `ROOM_CAP_TIME`. The target may store results that this entry does not know, for instance
    /// those made for an entry that has died.
    pub fn cap_room(&mut self, bytes: u64, now: Instant) {
        let current = self.room_cap.filter(|(_, until)| *until > now);
        let cap = current.map_or(u64::MAX, |(cap, _)| cap);
        self.room_cap = Some((cap.min(bytes.saturating_sub(1)), now + ROOM_CAP_TIME));
    }

    /// Returns the time until which the room is capped, which may have passed; `None` if no result
    /// ever lacked room.
    pub fn room_cap_until(&self) -> Option<Instant> {
        self.room_cap.map(|(_, until)| until)
    }

    /// Records a result that the target keeps until `expires_at` unless it is freed before.
    pub fn add_result(&mut self, result: &str, bytes: u64, expires_at: Instant) {
        let held = HeldResult { bytes, expires_at };
        self.held_results.insert(result.to_string(), held);
    }

    /// Records that the target has freed a result.
    pub fn remove_result(&mut self, result: &str) {
        self.held_results.remove(result);
    }

    fn end_call(&mut self, bytes: u64) {
        self.running_calls = self.running_calls.saturating_sub(1);
        self.reserved_bytes = self.reserved_bytes.saturating_sub(bytes);
    }
}
