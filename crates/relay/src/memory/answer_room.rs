use {
    crate::{
        dialect::{HeaderList, header_value},
        memory::SlicedBody,
        target::{CallFault, CallReply},
    },
    bytes::Bytes,
    room::ClientRoom,
    std::{
        convert::Infallible,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Longest answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Unit in which room is given out, in bytes.
const UNIT_BYTES: usize = 4 * 1024;
/// Longest answer that needs no room, in bytes.
const SHORT_ANSWER_BYTES: usize = 8 * 1024;

/// Time between two looks, while an answer waits for room, for clients that have stopped taking theirs.
const STOPPED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Room for the answers that are not streamed. Long answers wait for it in the order in which they
/// began; they take it until they were written. While one waits, connections whose clients have stopped
/// taking theirs are ended.
pub struct AnswerRoom {
    units: Arc<Semaphore>,
    unit_count: usize,
    /// Rooms of the connections on which the answers are written.
    clients: Vec<Rc<ClientRoom>>,
}

impl AnswerRoom {
    /// Creates an empty room for this number of bytes, or for one answer if that is more. The answers are
    /// written on connections of these rooms.
    pub fn new(limit: usize, clients: impl IntoIterator<Item = Rc<ClientRoom>>) -> Self {
        let unit_count = limit.max(MAX_ANSWER_BYTES).div_ceil(UNIT_BYTES);
        Self {
            units: Arc::new(Semaphore::new(unit_count)),
            unit_count,
            clients: clients.into_iter().collect(),
        }
    }

    /// Returns the number of bytes that were given out.
    pub fn held(&self) -> usize {
        (self.unit_count - self.units.available_permits()) * UNIT_BYTES
    }

    /// Waits for room for an answer with these headers.
    ///
    /// # Errors
    ///
    /// Fails if the answer is too long.
    pub async fn take(&self, headers: &HeaderList) -> Result<AnswerLease, CallFault> {
        let length = header_value(headers, "content-length");
        let length: Option<usize> = length.and_then(|text| text.trim().parse().ok());
        if length.is_some_and(|length| length > MAX_ANSWER_BYTES) {
            return Err(CallFault::TooLong);
        }
        if length.is_some_and(|length| length <= SHORT_ANSWER_BYTES) {
            return Ok(AnswerLease { permit: None });
        }
        let unit_count = units(length.unwrap_or(MAX_ANSWER_BYTES));
        let unit_count = u32::try_from(unit_count).unwrap_or(u32::MAX);
        let taking = Arc::clone(&self.units).acquire_many_owned(unit_count);
        tokio::select! {
            biased;
            // The semaphore is never closed.
            permit = taking => Ok(AnswerLease {
                permit: Some(permit.map_err(|_| CallFault::TimedOut)?),
            }),
            never = self.end_stopped_clients() => match never {},
        }
    }

    /// Ends the connections of clients that have stopped, one at a time.
    async fn end_stopped_clients(&self) -> Infallible {
        loop {
            actix_rt::time::sleep(STOPPED_CHECK_INTERVAL).await;
            for room in &self.clients {
                room.end_stopped(Instant::now());
            }
        }
    }
}

/// Room for one answer.
pub struct AnswerLease {
    /// `None` if the answer is short.
    permit: Option<OwnedSemaphorePermit>,
}

impl AnswerLease {
    /// Reads the whole body of the answer, which keeps its room until it has been passed on.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does, or if the body is too long.
    pub async fn read(mut self, reply: &mut CallReply) -> Result<SlicedBody, CallFault> {
        let limit = match self.permit {
            Some(_) => MAX_ANSWER_BYTES,
            None => SHORT_ANSWER_BYTES,
        };
        let pieces = reply.read_pieces(limit).await?;
        self.shrink(pieces.iter().map(Bytes::len).sum());
        Ok(SlicedBody::new(pieces, self))
    }

    /// Gives back the room that so many bytes do not need.
    pub(super) fn shrink(&mut self, byte_count: usize) {
        if let Some(permit) = &mut self.permit {
            let spare_units = permit.num_permits().saturating_sub(units(byte_count));
            drop(permit.split(spare_units));
        }
    }
}

fn units(byte_count: usize) -> usize {
    byte_count.div_ceil(UNIT_BYTES)
}
