use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Figures of a room that other threads may read.
#[derive(Debug, Default)]
pub struct RoomCounts {
    held: AtomicUsize,
    ended: AtomicU64,
    refused: AtomicU64,
}

impl RoomCounts {
    /// Returns the bytes that are taken.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were ended to make room.
    pub fn ended(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were closed at once since there was no room.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    pub(super) fn set_held(&self, bytes: usize) {
        self.held.store(bytes, Ordering::Relaxed);
    }

    pub(super) fn count_ended(&self) {
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}
