use {
    crate::BodyBuffer,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Time within which a whole body has to arrive.
pub const UPLOAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Age from which on it is judged whether a body arrives too slowly.
const JUDGE_AGE: Duration = Duration::from_secs(1);
/// Time without a byte after which a body counts as stopped.
const STALL_TIME: Duration = Duration::from_secs(2);

/// A body that has not arrived whole.
pub(super) struct ArrivingUpload {
    pub begun: Instant,
    /// When the last bytes came.
    pub progressed: Instant,
    /// Its length as far as it is known.
    pub length: usize,
    /// Its length as its head states it.
    pub stated_length: Option<usize>,
    /// Bytes that it holds.
    pub received: usize,
    pub buffer: BodyBuffer,
    /// Wakes its reader once its room was given to others.
    pub evicted: Arc<Notify>,
}

impl ArrivingUpload {
    pub fn new(length: usize, stated_length: Option<usize>, now: Instant) -> Self {
        Self {
            begun: now,
            progressed: now,
            length,
            stated_length,
            received: 0,
            buffer: BodyBuffer::default(),
            evicted: Arc::default(),
        }
    }

    /// Returns the number of bytes that are still to come.
    pub fn remaining(&self) -> usize {
        self.length - self.received
    }

    /// Returns true if it has stopped, or will not be whole in time at the pace at which it has come so
    /// far.
    pub fn is_too_slow(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.begun);
        let due_share = age.as_secs_f64() / UPLOAD_TIMEOUT.as_secs_f64();
        let has_stopped = now.saturating_duration_since(self.progressed) > STALL_TIME;
        has_stopped || age > JUDGE_AGE && (self.received as f64) < self.length as f64 * due_share
    }
}
