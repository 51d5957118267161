use {
    crate::{
        memory::{BodyReader, WriteProgress},
        target::{answer_marks::AnswerMarks, target_stream::WindowControl},
    },
    actix_rt::task::JoinHandle,
    hyper::client::conn::http1::SendRequest,
    std::{net::SocketAddr, time::Instant},
};

/// An open connection; closed when dropped.
pub struct PooledConnection {
    /// Sends requests on the connection; set for every connection that the pool opens.
    pub(super) sender: Option<SendRequest<BodyReader>>,
    /// Task that drives the connection, aborted on drop.
    pub(super) task: Option<JoinHandle<()>>,
    pub(super) address: SocketAddr,
    pub(super) opened_at: Instant,
    /// True until the first answer has been read.
    pub(super) is_new: bool,
    /// `None` if the kernel chooses how much it keeps of what arrives.
    pub(super) window: Option<WindowControl>,
    /// Whether the request that it carries was written out.
    pub(super) progress: WriteProgress,
    pub(super) marks: AnswerMarks,
}

impl PooledConnection {
    /// Returns true if another call can be sent on the connection.
    pub fn is_open(&self) -> bool {
        let sender = self.sender.as_ref();
        sender.is_some_and(|sender| sender.is_ready() && !sender.is_closed())
    }

    /// Returns true if the connection was opened for the call that it carries.
    pub fn is_new(&self) -> bool {
        self.is_new
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// A connection that waits for the next call.
pub struct IdleConnection {
    pub connection: PooledConnection,
    /// Time after which the connection is not used any more.
    pub expires_at: Instant,
}
