use {
    crate::{
        dialect::HeaderList,
        target::{connection_pool::ConnectionPool, pooled_connection::PooledConnection},
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
};

/// An answer that was read to its end. Its connection is closed when it is dropped, unless it is kept
/// for later calls.
pub struct WholeReply {
    /// HTTP status.
    pub status: u16,
    /// Headers without the hop-by-hop ones, except `keep-alive`.
    pub headers: HeaderList,
    /// The whole body.
    pub body: Bytes,
    pub(super) connection: Option<PooledConnection>,
    pub(super) pool: Rc<ConnectionPool>,
    /// Time for which the other side keeps the idle connection open, if it says so.
    pub(super) idle_timeout: Option<Duration>,
}

impl WholeReply {
    /// Returns true if the connection was opened for this call.
    pub fn is_on_new_connection(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(PooledConnection::is_new)
    }

    /// Remembers marks of the answer; returns false if an earlier answer on the connection had one of
    /// them, so that this one is a copy of it.
    pub fn add_marks<'a>(&mut self, marks: impl IntoIterator<Item = &'a str>) -> bool {
        let connection = self.connection.as_mut();
        connection.is_some_and(|connection| connection.marks.add(marks))
    }

    /// Keeps the connection for later calls. The answer must be certain to be that of its call.
    pub fn keep_connection(mut self) {
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|connection| !connection.marks.is_full()) {
            self.pool.return_to_pool(connection, self.idle_timeout);
        }
    }
}
