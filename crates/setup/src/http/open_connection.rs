use {
    actix_http::Request,
    std::{cell::RefCell, rc::Rc},
};

/// What is to be told when a reply has left.
///
/// It is dropped when the reply is over; if it was not told before, the connection has ended with part
/// of the reply unwritten.
pub trait ReplyFollower: 'static {
    /// The last byte of the reply was passed to the socket.
    fn on_written(&mut self);
}

/// What is known of one connection of a client, shared by its socket and its requests.
#[derive(Default)]
pub struct OpenConnection {
    /// Followers of replies whose last byte waits to be written.
    ending: RefCell<Vec<Box<dyn ReplyFollower>>>,
}

impl OpenConnection {
    /// Returns the connection on which the request came; `None` if [`crate::serve_http`] did not
    /// accept it.
    pub fn of(request: &Request) -> Option<Rc<Self>> {
        request.conn_data::<Rc<Self>>().cloned()
    }

    /// Records that the last byte of a reply waits to be written.
    pub(super) fn end_reply(&self, follower: Box<dyn ReplyFollower>) {
        self.ending.borrow_mut().push(follower);
    }

    /// Records that all that was waiting to be written has been passed to the socket.
    pub(super) fn record_flushed(&self) {
        let written = std::mem::take(&mut *self.ending.borrow_mut());
        for mut follower in written {
            follower.on_written();
        }
    }
}
