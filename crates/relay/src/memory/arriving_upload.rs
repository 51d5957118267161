use {
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Time within which a whole body has to arrive.
pub(super) const UPLOAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Age from which on it is judged whether a body arrives too slowly.
const JUDGE_AGE: Duration = Duration::from_secs(1);

/// A body that has not arrived whole.
pub(super) struct ArrivingUpload {
    pub begun: Instant,
    /// Its length as far as it is known.
    pub length: usize,
    pub received: usize,
    /// Wakes its reader once its room was given to others.
    pub evicted: Arc<Notify>,
}

impl ArrivingUpload {
    pub fn new(length: usize, now: Instant) -> Self {
        Self {
            begun: now,
            length,
            received: 0,
            evicted: Arc::default(),
        }
    }

    /// Returns the number of bytes that are still to come.
    pub fn remaining(&self) -> usize {
        self.length - self.received
    }

    /// Returns true if it will not be whole in time at the pace at which it has come so far.
    pub fn is_too_slow(&self, now: Instant) -> bool {
        let age = now - self.begun;
        let due_share = age.as_secs_f64() / UPLOAD_TIMEOUT.as_secs_f64();
        age > JUDGE_AGE && (self.received as f64) < self.length as f64 * due_share
    }
}
