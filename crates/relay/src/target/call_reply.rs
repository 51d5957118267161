use {
    crate::{
        dialect::HeaderList,
        target::connection_pool::{ConnectionPool, PooledConnection},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
};

/// Why a call brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// Nothing was sent.
    NotSent(String),
    /// The connection failed after something may have been sent.
    Broken(String),
    /// No answer came in time.
    TimedOut,
    /// The answer is longer than may be.
    TooLong,
}

/// The answer to a call; its connection is closed unless the body is read to its end.
pub struct CallReply {
    /// Status.
    pub status: u16,
    /// Headers that do not concern only this connection.
    pub headers: HeaderList,
    body: Incoming,
    guard: Option<PooledConnection>,
    pool: Rc<ConnectionPool>,
    keep: Option<Duration>,
}

impl CallReply {
    pub(super) fn new(
        status: u16,
        headers: HeaderList,
        body: Incoming,
        guard: PooledConnection,
        pool: Rc<ConnectionPool>,
    ) -> Self {
        Self {
            status,
            headers,
            body,
            guard: Some(guard),
            pool,
            keep: None,
        }
    }

    /// Says how long the connection may stay idle after the answer.
    pub fn set_idle_timeout(&mut self, idle: Option<Duration>) {
        self.keep = idle;
    }

    /// Next part of the body, or none at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallFault> {
        loop {
            match self.body.frame().await {
                None => {
                    self.return_to_pool();
                    return Ok(None);
                }
                Some(Err(error)) => return Err(CallFault::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut or longer than the limit.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, CallFault> {
        let mut whole = BytesMut::new();
        while let Some(part) = self.next_chunk().await? {
            if whole.len() + part.len() > limit {
                return Err(CallFault::TooLong);
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    }

    fn return_to_pool(&mut self) {
        if let Some(guard) = self.guard.take() {
            self.pool.return_to_pool(guard, self.keep);
        }
    }
}
