use {
    bytes::Bytes,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Unit in which room is given out, in bytes.
const UNIT_BYTES: usize = 4 * 1024;
/// Longest answer that needs no room, in bytes.
const SHORT_ANSWER_BYTES: usize = 8 * 1024;

/// Room for the answers of plain targets while they are read and passed on. Long ones wait for it in the order
/// in which they began: targets say how long their answers are, and could all say much.
pub struct AnswerRoom {
    units: Arc<Semaphore>,
}

impl AnswerRoom {
    /// Creates an empty room for this number of bytes, or for one answer of `longest` bytes if that is more.
    pub fn new(limit: usize, longest: usize) -> Self {
        let unit_count = limit.max(longest).div_ceil(UNIT_BYTES);
        Self {
            units: Arc::new(Semaphore::new(unit_count.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Waits for room for an answer of this length.
    pub async fn take(&self, length: usize) -> AnswerLease {
        if length <= SHORT_ANSWER_BYTES {
            return AnswerLease { _permit: None };
        }
        let unit_count = u32::try_from(length.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
        let taking = Arc::clone(&self.units).acquire_many_owned(unit_count);
        AnswerLease {
            // The semaphore is never closed.
            _permit: taking.await.ok(),
        }
    }
}

/// Room for one answer, given back when it is dropped.
pub struct AnswerLease {
    /// `None` if the answer is short.
    _permit: Option<OwnedSemaphorePermit>,
}

impl AnswerLease {
    /// Returns the bytes of the answer; they keep its room until the last copy is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(LeasedBytes {
            bytes,
            _lease: self,
        })
    }
}

struct LeasedBytes {
    bytes: Bytes,
    _lease: AnswerLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
