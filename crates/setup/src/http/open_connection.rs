use {
    crate::http::{
        ReplyFollower,
        body_framing::BodyFraming,
        connection_cost::{OPEN_BYTES, arriving_bytes, running_bytes, unread_bytes},
        kernel_buffers::KernelBuffers,
        open_reply::OpenReply,
    },
    actix_http::Request,
    room::{ClientRoom, ClientSeat, SeatEnd, SeatState},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        task::Waker,
        time::Instant,
    },
};

/// What the HTTP library may be handed of what arrives on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InputDemand {
    /// The head of the next request.
    Head,
    /// More of the body of the open request.
    Body,
    /// Nothing: the body of the open request has not arrived whole, and nobody asks for it.
    Hold,
    /// Nothing: the open request has arrived whole.
    Answer,
    /// The end: the last request was answered before it had arrived whole.
    End,
}

/// What is known of one connection of a client, shared by its socket and its requests.
pub struct OpenConnection {
    /// Its room.
    seat: Rc<ClientSeat>,
    /// Requests whose replies have not been passed to the socket whole.
    open_replies: Cell<usize>,
    /// Bytes of a head that were handed over and belong to no request that has begun.
    head_bytes: Cell<usize>,
    /// True while bytes have arrived that were not handed over.
    has_bytes_ahead: Cell<bool>,
    /// What is still to come of the body of the open request.
    framing: RefCell<BodyFraming>,
    /// What the kernel keeps for the connection.
    buffers: KernelBuffers,
    /// True while the handler of the open request waits for more of its body.
    wants_body: Cell<bool>,
    /// True once the handler takes no more of the body.
    is_body_refused: Cell<bool>,
    /// True once the handler has returned its reply.
    is_answered: Cell<bool>,
    /// True if the reply of the open request is streamed.
    is_streamed: Cell<bool>,
    /// True once a request was answered before it had arrived whole.
    is_spent: Cell<bool>,
    /// Followers of replies whose last byte waits to be written.
    ending: RefCell<Vec<Box<dyn ReplyFollower>>>,
    /// Wakes the reader of the connection.
    reader: RefCell<Option<Waker>>,
}

impl OpenConnection {
    /// Creates an idle connection, which takes a seat in the room.
    pub(super) fn new(room: &Rc<ClientRoom>) -> Self {
        Self {
            seat: room.take_seat(OPEN_BYTES, Instant::now()),
            open_replies: Cell::default(),
            head_bytes: Cell::default(),
            has_bytes_ahead: Cell::default(),
            framing: RefCell::default(),
            buffers: KernelBuffers::default(),
            wants_body: Cell::default(),
            is_body_refused: Cell::default(),
            is_answered: Cell::default(),
            is_streamed: Cell::default(),
            is_spent: Cell::default(),
            ending: RefCell::default(),
            reader: RefCell::default(),
        }
    }

    /// Returns the connection on which the request came; `None` if [`crate::serve_http`] did not
    /// accept it.
    pub fn of(request: &Request) -> Option<Rc<Self>> {
        request.conn_data::<Rc<Self>>().cloned()
    }

    /// Returns true if no request is open and none has begun to arrive.
    pub(super) fn is_idle(&self) -> bool {
        self.open_replies.get() == 0 && self.head_bytes.get() == 0 && !self.has_bytes_ahead.get()
    }

    /// Returns true if the connection has to end as soon as it is idle.
    pub(super) fn is_unwanted(&self) -> bool {
        self.seat.end().is_some()
    }

    /// Returns true if the connection has to end at once.
    pub(super) fn must_end(&self) -> bool {
        self.seat.end() == Some(SeatEnd::Now)
    }

    /// Has the waker woken once more may be handed over, or the connection has to end.
    pub(super) fn wake_reader(&self, waker: &Waker) {
        self.seat.wake_on_end(waker);
        let mut reader = self.reader.borrow_mut();
        if !reader.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *reader = Some(waker.clone());
        }
    }

    /// Returns what the HTTP library may be handed now.
    pub(super) fn demand(&self) -> InputDemand {
        if self.open_replies.get() == 0 {
            return match self.is_spent.get() {
                true => InputDemand::End,
                false => InputDemand::Head,
            };
        }
        if self.framing.borrow().is_whole() {
            return InputDemand::Answer;
        }
        // The library drops the rest of a body that nobody reads.
        let is_dropped = self.is_answered.get() && !self.is_body_refused.get();
        match self.wants_body.get() || is_dropped {
            true => InputDemand::Body,
            false => InputDemand::Hold,
        }
    }

    /// Records that bytes have arrived, or that all that has arrived was handed over.
    pub(super) fn set_bytes_ahead(&self, has_bytes: bool) {
        self.has_bytes_ahead.set(has_bytes);
    }

    /// Returns true if there is room for a request to arrive; the waker is woken once there is.
    pub(super) fn may_arrive(&self, waker: &Waker) -> bool {
        let now = Instant::now();
        self.seat.set_state(SeatState::Arriving, now);
        self.resize(arriving_bytes(self.head_bytes.get()), now);
        !self.must_end() && self.seat.may_grow(waker, now)
    }

    /// Records that bytes of a head were handed over.
    pub(super) fn record_head(&self, count: usize) {
        self.head_bytes.set(self.head_bytes.get() + count);
        self.seat.record_progress(count, Instant::now());
    }

    /// Returns how many of these bytes of the body can be handed over; they count as handed over.
    pub(super) fn take_body(&self, bytes: &[u8]) -> usize {
        self.wants_body.set(false);
        let mut framing = self.framing.borrow_mut();
        let count = framing.take(bytes);
        self.seat.record_progress(count, Instant::now());
        if framing.is_whole() {
            self.begin_run();
        }
        count
    }

    /// Records that the head of a request was read, and counts the request as open until its reply
    /// is over.
    pub(super) fn begin_request(self: &Rc<Self>, framing: BodyFraming) -> OpenReply {
        self.head_bytes.set(0);
        self.wants_body.set(false);
        self.is_body_refused.set(false);
        self.is_answered.set(false);
        if framing.is_whole() {
            self.begin_run();
        }
        self.framing.replace(framing);
        OpenReply::new(self)
    }

    /// Returns the bytes that the kernel should keep of what arrives from now on, if that has changed.
    pub(super) fn next_window(&self) -> Option<usize> {
        self.buffers
            .next_receive(&self.seat, &self.framing.borrow())
    }

    /// Takes this many bytes, and those that the kernel keeps beyond what it keeps for each connection.
    fn resize(&self, bytes: usize, now: Instant) {
        self.seat.resize(bytes + self.buffers.extra_bytes(), now);
    }

    /// Records that the open request has arrived whole.
    fn begin_run(&self) {
        let now = Instant::now();
        self.seat.set_state(SeatState::Served, now);
        self.resize(running_bytes(), now);
    }

    /// Has more of the body of the open request handed over.
    pub(super) fn want_body(&self) {
        if !self.wants_body.replace(true) {
            self.wake();
        }
    }

    /// Has nothing more of the body of the open request handed over.
    pub(super) fn refuse_body(&self) {
        self.is_body_refused.set(true);
    }

    /// Records that the handler of the open request has returned its reply, which may be streamed; returns true
    /// if the connection may stay open after it: the request has arrived whole, and nobody else needs the room.
    pub(super) fn record_answered(&self, is_streamed: bool) -> bool {
        self.is_answered.set(true);
        self.is_streamed.set(is_streamed);
        self.framing.borrow().is_whole() && !self.is_unwanted()
    }

    /// Records that the client leaves this many bytes of a reply unread. Returns the bytes that the kernel
    /// should keep of replies from now on, if that has changed.
    pub(super) fn record_unread(&self, count: usize) -> Option<usize> {
        let now = Instant::now();
        self.seat.set_state(SeatState::Arriving, now);
        self.resize(unread_bytes(count, self.is_streamed.get()), now);
        self.buffers.next_send(&self.seat, count)
    }

    /// Records that the client has taken bytes of a reply.
    pub(super) fn record_taken(&self, count: usize) {
        self.seat.record_progress(count, Instant::now());
    }

    /// Counts a reply that is not over.
    pub(super) fn add_reply(&self) {
        self.open_replies.set(self.open_replies.get() + 1);
    }

    /// Counts a reply as over.
    pub(super) fn remove_reply(&self) {
        self.open_replies.set(self.open_replies.get() - 1);
    }

    /// Records that the last byte of a reply waits to be written.
    pub(super) fn end_reply(&self, follower: Box<dyn ReplyFollower>) {
        self.ending.borrow_mut().push(follower);
    }

    /// Records that all that was waiting to be written has been passed to the socket.
    pub(super) fn record_flushed(&self) {
        let written = std::mem::take(&mut *self.ending.borrow_mut());
        let has_replies = !written.is_empty();
        for mut follower in written {
            follower.on_written();
        }
        if self.open_replies.get() > 0 {
            if self.framing.borrow().is_whole() {
                self.seat.set_state(SeatState::Served, Instant::now());
            }
            return;
        }
        if has_replies {
            self.end_request();
        }
    }

    /// Records that the connection has ended: replies that were not written are over. They know of the
    /// connection, and would keep it otherwise.
    pub(super) fn close(&self) {
        drop(self.ending.take());
    }

    /// Records that the reply of the last open request was written.
    fn end_request(&self) {
        if !std::mem::take(&mut *self.framing.borrow_mut()).is_whole() {
            self.is_spent.set(true);
        }
        let now = Instant::now();
        self.seat.set_state(SeatState::Idle, now);
        self.resize(OPEN_BYTES, now);
        self.wake();
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
