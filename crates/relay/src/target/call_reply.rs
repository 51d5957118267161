use {
    crate::{
        dialect::HeaderList,
        target::{
            WholeReply, connection_pool::ConnectionPool, pooled_connection::PooledConnection,
            target_stream::SHORT_WINDOW_BYTES,
        },
    },
    actix_rt::task::JoinHandle,
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    room::BodyBuffer,
    std::{
        future::Future,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Why a call got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// Nothing was sent, for example because no connection could be opened.
    NotSent(String),
    /// The connection failed after something may have been sent.
    Broken(String),
    /// No answer began within the time-out.
    TimedOut,
    /// The body is longer than the limit, or was not whole within the time-out.
    TooLong,
}

/// The answer to a call. The connection goes back to the pool once the body is read to its end;
/// otherwise it is closed when the reply is dropped.
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// Headers without the hop-by-hop ones, except `keep-alive`.
    pub headers: HeaderList,
    /// True if the answer has neither a length nor chunks, so that it ends with its connection. It
    /// looks whole then if the target's process ends.
    pub ends_with_connection: bool,
    /// `None` once it was read in a task of its own.
    body: Option<Incoming>,
    connection: Option<PooledConnection>,
    pool: Rc<ConnectionPool>,
    /// Time for which the other side keeps the idle connection open, if it says so.
    idle_timeout: Option<Duration>,
}

impl CallReply {
    pub(super) fn new(
        status: u16,
        headers: HeaderList,
        ends_with_connection: bool,
        body: Incoming,
        connection: PooledConnection,
        pool: Rc<ConnectionPool>,
    ) -> Self {
        Self {
            status,
            headers,
            ends_with_connection,
            body: Some(body),
            connection: Some(connection),
            pool,
            idle_timeout: None,
        }
    }

    /// Returns true if the connection was opened for this call.
    pub fn is_on_new_connection(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(PooledConnection::is_new)
    }

    /// Returns the time at which the connection was opened; `None` once it was given back or closed.
    pub fn opened_at(&self) -> Option<Instant> {
        let connection = self.connection.as_ref();
        connection.map(|connection| connection.opened_at)
    }

    /// Sets the time for which the other side keeps the idle connection open; `None` stands for a
    /// default.
    pub fn set_idle_timeout(&mut self, idle_timeout: Option<Duration>) {
        self.idle_timeout = idle_timeout;
    }

    /// Returns true if the answer ends with a connection that has ended before the request was written out:
    /// the other side has broken off, whatever has come of the answer.
    fn has_ended_early(&self) -> bool {
        let connection = self.connection.as_ref();
        let is_written = connection.is_some_and(|connection| connection.progress.is_written());
        self.ends_with_connection && !is_written
    }

    /// Checks an answer that has been read to its end.
    fn check_end(&self) -> Result<(), CallFault> {
        match self.has_ended_early() {
            true => Err(CallFault::Broken(String::from(
                "the connection has ended before the request was written",
            ))),
            false => Ok(()),
        }
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does, or before the request was written.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallFault> {
        let chunk = self.next_data().await?;
        if chunk.is_none() {
            self.check_end()?;
        }
        if chunk.is_none() {
            self.return_to_pool();
        }
        Ok(chunk)
    }

    async fn next_data(&mut self) -> Result<Option<Bytes>, CallFault> {
        match &mut self.body {
            Some(body) => next_data(body).await,
            None => Ok(None),
        }
    }

    /// Reads and returns the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does or before the request was written, or if the body is
    /// longer than `limit` bytes.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, CallFault> {
        let body = self.read_data(limit).await?;
        self.check_end()?;
        self.return_to_pool();
        Ok(body)
    }

    /// Reads and returns the whole body in pieces.
    ///
    /// # Errors
    ///
    /// Fails like `read_body`.
    pub async fn read_pieces(&mut self, limit: usize) -> Result<Vec<Bytes>, CallFault> {
        let Some(body) = self.body.take() else {
            return Ok(Vec::new());
        };
        self.widen_window(&body);
        let pieces = read_in_task(collect_pieces(body, limit)).await?;
        self.check_end()?;
        self.return_to_pool();
        Ok(pieces)
    }

    /// Reads the whole body; the connection does not go back to the pool by itself.
    ///
    /// # Errors
    ///
    /// Fails like `read_body`.
    pub(super) async fn read_whole(mut self, limit: usize) -> Result<WholeReply, CallFault> {
        let body = self.read_data(limit).await?;
        self.check_end()?;
        Ok(WholeReply {
            status: self.status,
            headers: self.headers,
            body,
            connection: self.connection,
            pool: self.pool,
            idle_timeout: self.idle_timeout,
        })
    }

    async fn read_data(&mut self, limit: usize) -> Result<Bytes, CallFault> {
        let Some(body) = self.body.take() else {
            return Ok(Bytes::new());
        };
        self.widen_window(&body);
        read_in_task(collect_bytes(body, limit)).await
    }

    /// Has the kernel keep more while a long body is read.
    fn widen_window(&self, body: &Incoming) {
        let window = self
            .connection
            .as_ref()
            .and_then(|connection| connection.window.as_ref());
        let is_long = stated_length(body).is_none_or(|length| length > SHORT_WINDOW_BYTES);
        if let Some(window) = window.filter(|_| is_long) {
            window.widen();
        }
    }

    /// Closes the connection; the rest of the body is not read.
    pub fn close(&mut self) {
        self.connection = None;
    }

    fn return_to_pool(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.return_to_pool(connection, self.idle_timeout);
        }
    }
}

/// A task that reads a body; aborted when dropped.
struct ReadingTask<Read>(JoinHandle<Result<Read, CallFault>>);

impl<Read> Drop for ReadingTask<Read> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, CallFault> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(CallFault::Broken(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Reads a body in a task of its own, since each chunk wakes all that waits for it.
async fn read_in_task<Read: 'static>(
    reading: impl Future<Output = Result<Read, CallFault>> + 'static,
) -> Result<Read, CallFault> {
    let mut task = ReadingTask(actix_rt::spawn(reading));
    let read = (&mut task.0).await;
    read.unwrap_or_else(|error| Err(CallFault::Broken(error.to_string())))
}

async fn collect_bytes(body: Incoming, limit: usize) -> Result<Bytes, CallFault> {
    let length = stated_length(&body).unwrap_or(0).min(limit);
    let mut bytes = BytesMut::with_capacity(length);
    collect(body, limit, |chunk| bytes.extend_from_slice(chunk)).await?;
    Ok(bytes.freeze())
}

async fn collect_pieces(body: Incoming, limit: usize) -> Result<Vec<Bytes>, CallFault> {
    let length = stated_length(&body);
    let mut buffer = BodyBuffer::default();
    collect(body, limit, |chunk| buffer.extend(chunk, length)).await?;
    Ok(buffer.into_pieces())
}

/// Returns the length of a body in bytes; `None` if its head does not state it.
fn stated_length(body: &Incoming) -> Option<usize> {
    let length = body.size_hint().exact()?;
    Some(usize::try_from(length).unwrap_or(usize::MAX))
}

/// Passes each chunk of a body on.
async fn collect(
    mut body: Incoming,
    limit: usize,
    mut keep: impl FnMut(&[u8]),
) -> Result<(), CallFault> {
    if body.size_hint().lower() > limit as u64 {
        return Err(CallFault::TooLong);
    }
    let mut length = 0;
    while let Some(chunk) = next_data(&mut body).await? {
        length += chunk.len();
        if length > limit {
            return Err(CallFault::TooLong);
        }
        keep(&chunk);
    }
    Ok(())
}
