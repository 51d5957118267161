use {
    plan::PieceSpec,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Pause after a target said that it is full or failed.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a result that found no room tells how much room there is.
const ROOM_MEMORY: Duration = Duration::from_millis(300);
/// Longest pause after failures in a row.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Weight of the newest call in the measured slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// A result that takes room at a target.
#[derive(Debug, Clone, Copy)]
struct HeldResult {
    bytes: u64,
    until: Instant,
}

/// What the entry that gathers knows of one stage target.
#[derive(Debug)]
pub struct BatchTarget {
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Calls that run there.
    pub calls: u32,
    /// Time at which the latest call should end.
    pub busy_until: Instant,
    /// Time of its calls against what is expected.
    pub slowness: f64,
    held: BTreeMap<String, HeldResult>,
    reserved: u64,
    /// Room that is known to be left at most, and until when that counts.
    room_cap: Option<(u64, Instant)>,
    paused_until: Option<Instant>,
    failures: u32,
}

impl BatchTarget {
    pub fn new(data_centre: impl Into<String>, now: Instant) -> Self {
        Self {
            data_centre: data_centre.into(),
            calls: 0,
            busy_until: now,
            slowness: 1.0,
            held: BTreeMap::new(),
            reserved: 0,
            room_cap: None,
            paused_until: None,
            failures: 0,
        }
    }

    /// True if a call may start there now.
    pub fn is_open(&self, spec: &PieceSpec, now: Instant) -> bool {
        self.calls < spec.slots && self.paused_until.is_none_or(|until| until <= now)
    }

    /// End of its pause, if it has one.
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Bytes that further results may take.
    pub fn room(&mut self, spec: &PieceSpec, now: Instant) -> u64 {
        self.held.retain(|_, result| result.until > now);
        let held: u64 = self.held.values().map(|result| result.bytes).sum();
        let room = spec
            .result_memory_bytes
            .saturating_sub(held + self.reserved);
        match self.room_cap {
            Some((cap, until)) if until > now => room.min(cap),
            _ => room,
        }
    }

    pub fn start(&mut self, bytes: u64, length: Duration, now: Instant) {
        self.calls += 1;
        self.reserved += bytes;
        self.busy_until = now + length.mul_f64(self.slowness);
    }

    /// Records that a call ended whole; `expected` is its time at an ordinary target.
    pub fn finish(&mut self, bytes: u64, spent: Duration, expected: Duration) {
        self.end(bytes);
        self.failures = 0;
        self.paused_until = None;
        let found = spent.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.slowness += SLOWNESS_WEIGHT * (found.clamp(0.2, 20.0) - self.slowness);
    }

    /// Records that a call failed, and leaves the target alone for a while.
    pub fn fail(&mut self, bytes: u64, now: Instant) {
        self.end(bytes);
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(6));
        self.failures += 1;
        self.paused_until = Some(now + pause.min(LONGEST_PAUSE));
    }

    /// Records that a result of this size found no room: others fill it, for instance results that
    /// were made for an entry which is gone.
    pub fn cap_room(&mut self, bytes: u64, now: Instant) {
        let known = self.room_cap.filter(|(_, until)| *until > now);
        let cap = known.map_or(u64::MAX, |(cap, _)| cap);
        self.room_cap = Some((cap.min(bytes.saturating_sub(1)), now + ROOM_MEMORY));
    }

    /// Time from which the room is asked for again.
    pub fn capped_until(&self) -> Option<Instant> {
        self.room_cap.map(|(_, until)| until)
    }

    pub fn hold(&mut self, result: &str, bytes: u64, until: Instant) {
        let held = HeldResult { bytes, until };
        self.held.insert(result.to_string(), held);
    }

    pub fn release(&mut self, result: &str) {
        self.held.remove(result);
    }

    fn end(&mut self, bytes: u64) {
        self.calls = self.calls.saturating_sub(1);
        self.reserved = self.reserved.saturating_sub(bytes);
    }
}
