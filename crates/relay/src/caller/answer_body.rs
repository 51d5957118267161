use {
    actix_http::body::{BodySize, MessageBody},
    bytes::Bytes,
    std::{
        cell::Cell,
        fmt,
        pin::Pin,
        rc::Rc,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc},
};

/// Bytes of an answer that may wait for a slow caller; a longer chunk waits alone.
const MAX_QUEUED_BYTES: usize = 16 * 1024;

/// Error that ends the body of an answer early: the caller's connection is closed, so that the
/// answer does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyCut;

impl fmt::Display for BodyCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was truncated")
    }
}

impl std::error::Error for BodyCut {}

/// Passes an answer on to its caller while it arrives. The answer is cut when this is dropped, unless
/// it was finished.
pub struct AnswerSender {
    chunks: mpsc::UnboundedSender<QueuedChunk>,
    room: Arc<Semaphore>,
    is_finished: Rc<Cell<bool>>,
}

impl AnswerSender {
    /// Creates a sender and the body that consists of what it sends.
    pub fn open() -> (Self, AnswerBody) {
        let (sender, chunks) = mpsc::unbounded_channel();
        let is_finished = Rc::new(Cell::new(false));
        let body = AnswerBody {
            chunks,
            is_finished: Rc::clone(&is_finished),
        };
        let sender = Self {
            chunks: sender,
            room: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)),
            is_finished,
        };
        (sender, body)
    }

    /// Sends a chunk once there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerLeft> {
        let count = chunk.len().min(MAX_QUEUED_BYTES);
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let permit = tokio::select! {
            permit = Arc::clone(&self.room).acquire_many_owned(count) => permit,
            () = self.until_caller_left() => return Err(CallerLeft),
        };
        let chunk = QueuedChunk {
            bytes: chunk,
            _permit: permit.map_err(|_| CallerLeft)?,
        };
        self.chunks.send(chunk).map_err(|_| CallerLeft)
    }

    /// Waits until the caller has left.
    pub async fn until_caller_left(&self) {
        self.chunks.closed().await;
    }

    /// Ends the answer: what was sent is the whole of it.
    pub fn finish(self) {
        self.is_finished.set(true);
    }
}

/// Part of an answer that waits for its caller.
struct QueuedChunk {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

/// The caller has left before its answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLeft;

/// Body of an answer that is passed on while it arrives.
pub struct AnswerBody {
    chunks: mpsc::UnboundedReceiver<QueuedChunk>,
    /// True once the sender has said that the answer is complete.
    is_finished: Rc<Cell<bool>>,
}

impl MessageBody for AnswerBody {
    type Error = BodyCut;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyCut>>> {
        let chunk = ready!(self.chunks.poll_recv(context));
        Poll::Ready(match chunk {
            Some(chunk) => Some(Ok(chunk.bytes)),
            None if self.is_finished.get() => None,
            None => Some(Err(BodyCut)),
        })
    }
}
