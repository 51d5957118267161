use {crate::http::OpenConnection, std::rc::Rc};

/// What is to be told when a reply has left.
///
/// It is dropped when the reply is over; if it was not told before, the connection has ended with part
/// of the reply unwritten.
pub trait ReplyFollower: 'static {
    /// The last byte of the reply was passed to the socket.
    fn on_written(&mut self);
}

/// Counts a request as open until dropped.
pub(super) struct OpenReply {
    connection: Rc<OpenConnection>,
}

impl OpenReply {
    pub fn new(connection: &Rc<OpenConnection>) -> Self {
        connection.add_reply();
        Self {
            connection: Rc::clone(connection),
        }
    }
}

impl ReplyFollower for OpenReply {
    fn on_written(&mut self) {}
}

impl Drop for OpenReply {
    fn drop(&mut self) {
        self.connection.remove_reply();
    }
}
