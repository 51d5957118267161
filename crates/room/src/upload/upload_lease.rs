use {
    crate::upload::{NoRoom, UploadRoom, upload_room::UploadNumber},
    bytes::Bytes,
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
    /// The body once it has arrived whole.
    pieces: Vec<Bytes>,
}

impl UploadLease {
    pub(super) fn new(room: Arc<UploadRoom>, number: UploadNumber, evicted: Arc<Notify>) -> Self {
        Self {
            room,
            number,
            evicted,
            whole_bytes: 0,
            pieces: Vec::new(),
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

    /// Keeps bytes that have arrived, and takes room for the memory in which they are kept.
    ///
    /// # Errors
    ///
    /// Fails if there is none, or if the body is longer than its head states.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let room = room::UploadRoom::new(100_000);
    /// let lease = room.admit(Some(5), Instant::now()).unwrap();
    /// lease.push(b"whole", Instant::now()).unwrap();
    /// let mut lease = lease.finish().unwrap();
    /// assert_eq!(lease.take_pieces().concat(), b"whole");
    /// assert_eq!(room.held(), 5);
    /// ```
    pub fn push(&self, mut bytes: &[u8], now: Instant) -> Result<(), NoRoom> {
        loop {
            let (count, growth) = self.room.fill(self.number, bytes, now)?;
            bytes = &bytes[count..];
            if bytes.is_empty() {
                return Ok(());
            }
            if growth == 0 {
                return Err(NoRoom);
            }
            self.room.receive(self.number, growth, now)?;
            self.room.grow_buffer(self.number, growth)?;
        }
    }

    /// Returns the body in pieces once it has arrived whole.
    pub fn take_pieces(&mut self) -> Vec<Bytes> {
        std::mem::take(&mut self.pieces)
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
        self.pieces = upload.buffer.into_pieces();
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
