use {
    actix_http::Request,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        task::Waker,
    },
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
    /// Requests whose replies have not been passed to the socket whole.
    open_replies: Cell<usize>,
    /// True while bytes were read that belong to no request that has begun.
    has_unparsed_bytes: Cell<bool>,
    /// Followers of replies whose last byte waits to be written.
    ending: RefCell<Vec<Box<dyn ReplyFollower>>>,
    /// Wakes the reader of the connection once the connection is idle.
    idle_waker: RefCell<Option<Waker>>,
    /// True once the connection is to end as soon as it is idle.
    is_unwanted: Cell<bool>,
    /// Wakes the reader of the connection.
    read_waker: RefCell<Option<Waker>>,
}

impl OpenConnection {
    /// Returns the connection on which the request came; `None` if [`crate::serve_http`] did not
    /// accept it.
    pub fn of(request: &Request) -> Option<Rc<Self>> {
        request.conn_data::<Rc<Self>>().cloned()
    }

    /// Returns true if no request is open and none has begun to arrive.
    pub(super) fn is_idle(&self) -> bool {
        self.open_replies.get() == 0 && !self.has_unparsed_bytes.get()
    }

    /// Has the waker woken once the connection is idle.
    pub(super) fn wake_when_idle(&self, waker: &Waker) {
        let mut idle_waker = self.idle_waker.borrow_mut();
        if !idle_waker
            .as_ref()
            .is_some_and(|known| known.will_wake(waker))
        {
            *idle_waker = Some(waker.clone());
        }
    }

    /// Ends the connection as soon as it is idle.
    pub(super) fn end_when_idle(&self) {
        self.is_unwanted.set(true);
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Returns true if the connection is to end as soon as it is idle.
    pub(super) fn is_unwanted(&self) -> bool {
        self.is_unwanted.get()
    }

    /// Has the waker woken if the connection is to end.
    pub(super) fn wake_when_unwanted(&self, waker: &Waker) {
        self.read_waker.replace(Some(waker.clone()));
    }

    /// Records that bytes have arrived. While a request is open they belong to its body.
    pub(super) fn record_read(&self) {
        if self.open_replies.get() == 0 {
            self.has_unparsed_bytes.set(true);
        }
    }

    /// Records that the head of a request was read, and counts the request as open until its reply
    /// is over.
    pub(super) fn begin_request(self: &Rc<Self>) -> OpenReply {
        self.has_unparsed_bytes.set(false);
        self.open_replies.set(self.open_replies.get() + 1);
        OpenReply {
            connection: Rc::clone(self),
        }
    }

    /// Records that the last byte of a reply waits to be written.
    pub(super) fn end_reply(&self, follower: Box<dyn ReplyFollower>) {
        self.ending.borrow_mut().push(follower);
    }

    /// Records that the connection has ended: replies that were not written are over. They know of the
    /// connection, and would keep it otherwise.
    pub(super) fn close(&self) {
        let unwritten = self.ending.take();
        drop(unwritten);
    }

    /// Records that all that was waiting to be written has been passed to the socket.
    pub(super) fn record_flushed(&self) {
        let written = std::mem::take(&mut *self.ending.borrow_mut());
        for mut follower in written {
            follower.on_written();
        }
        if self.is_idle()
            && let Some(waker) = self.idle_waker.take()
        {
            waker.wake();
        }
    }
}

/// Counts a request as open until dropped.
pub(super) struct OpenReply {
    connection: Rc<OpenConnection>,
}

impl ReplyFollower for OpenReply {
    fn on_written(&mut self) {}
}

impl Drop for OpenReply {
    fn drop(&mut self) {
        let open_replies = &self.connection.open_replies;
        open_replies.set(open_replies.get() - 1);
    }
}
