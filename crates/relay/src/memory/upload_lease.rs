use {
    crate::memory::{NoRoom, UploadRoom, upload_room::UploadNumber},
    std::{sync::Arc, time::Instant},
    tokio::sync::Notify,
};

/// Room of one body, given back when this is dropped.
pub struct UploadLease {
    room: Arc<UploadRoom>,
    number: UploadNumber,
    evicted: Arc<Notify>,
    /// Bytes that the body holds once it has arrived whole.
    whole_bytes: usize,
}

impl UploadLease {
    pub(super) fn new(room: Arc<UploadRoom>, number: UploadNumber, evicted: Arc<Notify>) -> Self {
        Self {
            room,
            number,
            evicted,
            whole_bytes: 0,
        }
    }

    /// Takes room for bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Fails if there is none; the body has given way then.
    pub fn receive(&self, count: usize, now: Instant) -> Result<(), NoRoom> {
        self.room.receive(self.number, count, now)
    }

    /// Waits until the body has given way to others.
    pub async fn until_evicted(&self) {
        self.evicted.notified().await;
    }

    /// Keeps the room of a body that has arrived whole.
    ///
    /// # Errors
    ///
    /// Fails if the body has given way.
    pub fn finish(mut self) -> Result<Self, NoRoom> {
        let mut state = self.room.lock();
        let upload = state.arriving.remove(&self.number).ok_or(NoRoom)?;
        state.promised -= upload.remaining();
        drop(state);
        self.whole_bytes = upload.received;
        Ok(self)
    }
}

impl Drop for UploadLease {
    fn drop(&mut self) {
        let mut state = self.room.lock();
        state.evict(self.number);
        state.held -= self.whole_bytes;
        state.promised -= self.whole_bytes;
    }
}
