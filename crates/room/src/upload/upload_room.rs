use {
    crate::upload::{UploadLease, arriving_upload::ArrivingUpload},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// Bytes that may be promised to arriving bodies, as a multiple of the room: most have arrived in
/// part only.
const PROMISE_RATIO: f64 = 1.6;
/// Share of the room that bodies of any length may use; the rest is for short ones.
const COMMON_SHARE: f64 = 0.9;
/// Longest body that counts as short, in bytes.
const SHORT_BODY_BYTES: usize = 64 * 1024;

/// There is no room for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// Room for the bodies of requests, in bytes.
///
/// A body is let in if its length can be promised, and takes room before it takes memory. Where the
/// room is used up, the bodies that have stopped or come too slowly give way, then the one of which most
/// is still to come, so that others become whole. What gives way is freed at once.
pub struct UploadRoom {
    limit: usize,
    state: Mutex<RoomState>,
}

/// Number of a body that arrives.
pub(super) type UploadNumber = u64;

#[derive(Default)]
pub(super) struct RoomState {
    /// Bytes that have arrived and are held.
    pub held: usize,
    /// Bytes that were promised, those that are held included.
    pub promised: usize,
    next_number: UploadNumber,
    pub arriving: BTreeMap<UploadNumber, ArrivingUpload>,
}

impl UploadRoom {
    /// Creates an empty room for this number of bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            state: Mutex::default(),
        })
    }

    /// Lets a body in. `length` is its stated length; `None` if it states none.
    ///
    /// # Errors
    ///
    /// Fails if the length cannot be promised.
    pub fn admit(
        self: &Arc<Self>,
        length: Option<usize>,
        now: Instant,
    ) -> Result<UploadLease, NoRoom> {
        let stated_length = length;
        let length = length.unwrap_or(SHORT_BODY_BYTES);
        let mut state = self.lock();
        let limit = self.limit_for(length);
        let promise_limit = (limit as f64 * PROMISE_RATIO) as usize;
        if state.promised + length > promise_limit || state.held >= limit {
            state.evict_slow(now);
        }
        if state.promised + length > promise_limit || state.held >= limit {
            return Err(NoRoom);
        }
        let upload = ArrivingUpload::new(length, stated_length, now);
        let evicted = Arc::clone(&upload.evicted);
        let number = state.add(upload);
        drop(state);
        Ok(UploadLease::new(Arc::clone(self), number, evicted))
    }

    /// Takes room for bytes of a body that have arrived.
    pub(super) fn receive(
        &self,
        number: UploadNumber,
        count: usize,
        now: Instant,
    ) -> Result<(), NoRoom> {
        let mut state = self.lock();
        let length = state.grow(number, count).ok_or(NoRoom)?;
        let limit = self.limit_for(length);
        if state.held + count > limit {
            state.evict_slow(now);
        }
        while state.held + count > limit {
            let victim = state.least_arrived().ok_or(NoRoom)?;
            state.evict(victim);
            if victim == number {
                return Err(NoRoom);
            }
        }
        state.take(number, count, now).ok_or(NoRoom)
    }

    /// Keeps bytes of a body as far as there is space for them without taking more room; returns their
    /// number, and the room to take for further ones.
    pub(super) fn fill(
        &self,
        number: UploadNumber,
        bytes: &[u8],
        now: Instant,
    ) -> Result<(usize, usize), NoRoom> {
        let mut state = self.lock();
        let upload = state.arriving.get_mut(&number).ok_or(NoRoom)?;
        upload.progressed = now;
        let count = upload.buffer.fill(bytes);
        let growth = match count == bytes.len() {
            true => 0,
            false => upload.buffer.next_growth(upload.stated_length),
        };
        Ok((count, growth))
    }

    /// Grows the memory of a body by what it has taken room for.
    pub(super) fn grow_buffer(&self, number: UploadNumber, growth: usize) -> Result<(), NoRoom> {
        let mut state = self.lock();
        let upload = state.arriving.get_mut(&number).ok_or(NoRoom)?;
        upload.buffer.grow(growth);
        Ok(())
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.lock().held
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, RoomState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn limit_for(&self, length: usize) -> usize {
        match length <= SHORT_BODY_BYTES {
            true => self.limit,
            false => (self.limit as f64 * COMMON_SHARE) as usize,
        }
    }
}

impl RoomState {
    fn add(&mut self, upload: ArrivingUpload) -> UploadNumber {
        let number = self.next_number;
        self.next_number += 1;
        self.promised += upload.length;
        self.arriving.insert(number, upload);
        number
    }

    /// Raises the length of a body that is longer than was known, and returns it; `None` if the body
    /// has given way.
    fn grow(&mut self, number: UploadNumber, count: usize) -> Option<usize> {
        let upload = self.arriving.get_mut(&number)?;
        let needed = upload.received + count;
        if needed > upload.length {
            let length = needed.max(upload.length * 2);
            self.promised += length - upload.length;
            upload.length = length;
        }
        Some(upload.length)
    }

    fn take(&mut self, number: UploadNumber, count: usize, now: Instant) -> Option<()> {
        let upload = self.arriving.get_mut(&number)?;
        upload.progressed = now;
        upload.received += count;
        self.held += count;
        Some(())
    }

    fn evict_slow(&mut self, now: Instant) {
        let arriving = self.arriving.iter();
        let slow = arriving.filter(|(_, upload)| upload.is_too_slow(now));
        let slow: Vec<_> = slow.map(|(number, _)| *number).collect();
        for number in slow {
            self.evict(number);
        }
    }

    /// Returns the body of which most is still to come, the latest of them.
    fn least_arrived(&self) -> Option<UploadNumber> {
        let arriving = self.arriving.iter();
        let least_arrived = arriving.max_by_key(|(_, upload)| upload.remaining())?;
        Some(*least_arrived.0)
    }

    /// Takes the room of an arriving body away and wakes its reader.
    pub fn evict(&mut self, number: UploadNumber) {
        if let Some(upload) = self.arriving.remove(&number) {
            self.held -= upload.received;
            self.promised -= upload.length;
            upload.evicted.notify_one();
        }
    }
}
