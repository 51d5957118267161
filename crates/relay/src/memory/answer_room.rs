use {
    crate::{
        dialect::header_value,
        target::{CallFault, CallReply},
    },
    bytes::Bytes,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Longest answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Unit in which room is given out, in bytes.
const UNIT_BYTES: usize = 4 * 1024;
/// Longest answer that needs no room, in bytes.
const SHORT_ANSWER_BYTES: usize = 8 * 1024;

/// Room for the answers that are not streamed. Long answers wait for it in the order in which they
/// began; they take it until they were written.
pub struct AnswerRoom {
    units: Arc<Semaphore>,
    unit_count: usize,
}

/// A whole answer with its room.
struct LeasedAnswer {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LeasedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerRoom {
    /// Creates an empty room for this number of bytes, or for one answer if that is more.
    pub fn new(limit: usize) -> Self {
        let unit_count = limit.max(MAX_ANSWER_BYTES).div_ceil(UNIT_BYTES);
        Self {
            units: Arc::new(Semaphore::new(unit_count)),
            unit_count,
        }
    }

    /// Returns the number of bytes that were given out.
    pub fn held(&self) -> usize {
        (self.unit_count - self.units.available_permits()) * UNIT_BYTES
    }

    /// Reads the whole body of an answer once there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does, or if the body is too long.
    pub async fn read(&self, reply: &mut CallReply) -> Result<Bytes, CallFault> {
        let length = header_value(&reply.headers, "content-length");
        let length: Option<usize> = length.and_then(|text| text.trim().parse().ok());
        if length.is_some_and(|length| length > MAX_ANSWER_BYTES) {
            return Err(CallFault::TooLong);
        }
        if length.is_some_and(|length| length <= SHORT_ANSWER_BYTES) {
            return reply.read_body(SHORT_ANSWER_BYTES).await;
        }
        let mut permit = self.take(length.unwrap_or(MAX_ANSWER_BYTES)).await?;
        let bytes = reply.read_body(MAX_ANSWER_BYTES).await?;
        let spare_units = permit.num_permits().saturating_sub(units(bytes.len()));
        drop(permit.split(spare_units));
        Ok(Bytes::from_owner(LeasedAnswer {
            bytes,
            _permit: permit,
        }))
    }

    async fn take(&self, byte_count: usize) -> Result<OwnedSemaphorePermit, CallFault> {
        let unit_count = u32::try_from(units(byte_count)).unwrap_or(u32::MAX);
        let taking = Arc::clone(&self.units).acquire_many_owned(unit_count);
        // The semaphore is never closed.
        taking.await.map_err(|_| CallFault::TimedOut)
    }
}

fn units(byte_count: usize) -> usize {
    byte_count.div_ceil(UNIT_BYTES)
}
