use {
    crate::client::ClientRoom,
    std::{
        cell::{Cell, RefCell},
        future::poll_fn,
        rc::Rc,
        task::{Poll, Waker},
        time::{Duration, Instant},
    },
};

/// Time without a byte after which a client that the process waits for counts as stopped.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Bytes that a transfer counts as moved, and time as passed, before it begins, so that one that has just
/// begun does not count as slow.
const YOUNG_BYTES: usize = 16 * 1024;
pub(super) const YOUNG_TIME: Duration = Duration::from_millis(100);

/// What a connection does, as far as it matters for who gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatState {
    /// No request is open and none has begun to arrive.
    Idle,
    /// The process waits for the client: a request arrives, or a reply is not taken.
    Arriving,
    /// The client waits for the process. Such a connection never gives way.
    Served,
}

/// How a connection has to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatEnd {
    /// As soon as it is idle, so that a request that crosses its end is served.
    WhenIdle,
    /// At once.
    Now,
}

/// How much sooner one connection gives way than another; the greatest goes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum SeatRank {
    /// Bytes a second that it moves, below 0.
    Slow(f64),
    /// Seconds since it is idle.
    Idle(f64),
    /// Seconds since it has stopped.
    Stopped(f64),
}

/// The bytes that one connection takes, given back when this is dropped.
pub struct ClientSeat {
    room: Rc<ClientRoom>,
    bytes: Cell<usize>,
    state: Cell<SeatState>,
    /// When the state began.
    since: Cell<Instant>,
    /// When the last byte was moved.
    progressed: Cell<Instant>,
    /// Bytes that were moved in this state.
    moved_bytes: Cell<usize>,
    /// True until a request has begun to arrive.
    is_new: Cell<bool>,
    end: Cell<Option<SeatEnd>>,
    /// True while the room counts its bytes as given back soon.
    is_ending: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ClientSeat {
    pub(super) fn new(room: &Rc<ClientRoom>, bytes: usize, now: Instant) -> Self {
        room.add(bytes);
        Self {
            room: Rc::clone(room),
            bytes: Cell::new(bytes),
            state: Cell::new(SeatState::Idle),
            since: Cell::new(now),
            progressed: Cell::new(now),
            moved_bytes: Cell::new(0),
            is_new: Cell::new(true),
            end: Cell::new(None),
            is_ending: Cell::new(false),
            waker: RefCell::default(),
        }
    }

    /// Returns the bytes that the connection takes.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns true if there is room for this number of bytes more.
    pub fn has_space(&self, bytes: usize) -> bool {
        self.room.has_space(bytes)
    }

    /// Sets the bytes that the connection takes. Others give way if they are more than the room has.
    pub fn resize(&self, bytes: usize, now: Instant) {
        let known = self.bytes.replace(bytes);
        if self.is_ending.get() {
            self.room.resize_ending(known, bytes);
        }
        self.room.add(bytes);
        self.room.remove(known);
        if bytes > known {
            self.room.make_room(0, now);
        }
    }

    /// Tells what the connection does from now on. One that was to end as soon as it is idle stays for a
    /// request that crosses its end; others are told to end meanwhile.
    pub fn set_state(&self, state: SeatState, now: Instant) {
        if state != SeatState::Idle
            && self.end.get() == Some(SeatEnd::WhenIdle)
            && self.is_ending.replace(false)
        {
            self.room.keep(self.bytes.get());
        }
        if state != SeatState::Idle {
            self.is_new.set(false);
        }
        if self.state.replace(state) != state {
            self.since.set(now);
            self.progressed.set(now);
            self.moved_bytes.set(0);
        }
    }

    /// Records that bytes came or were taken.
    pub fn record_progress(&self, count: usize, now: Instant) {
        self.progressed.set(now);
        self.moved_bytes.set(self.moved_bytes.get() + count);
    }

    /// Returns true if the room is not exceeded, or will not be once others have given way. If none does,
    /// the waker is woken once there is room.
    pub fn may_grow(&self, waker: &Waker, now: Instant) -> bool {
        let has_room = self.room.make_room(0, now);
        if !has_room {
            self.room.wait(waker);
        }
        has_room
    }

    /// Returns how the connection has to end; `None` if it may stay.
    pub fn end(&self) -> Option<SeatEnd> {
        self.end.get()
    }

    /// Has the waker woken once the connection has to end.
    pub fn wake_on_end(&self, waker: &Waker) {
        let mut known = self.waker.borrow_mut();
        if !known.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *known = Some(waker.clone());
        }
    }

    /// Waits until the connection has to end.
    pub async fn until_told_to_end(&self) {
        poll_fn(|context| {
            self.wake_on_end(context.waker());
            match self.end() {
                Some(_) => Poll::Ready(()),
                None => Poll::Pending,
            }
        })
        .await;
    }

    /// Tells the connection to end; returns the bytes that it will give back.
    pub(super) fn tell_end(&self) -> usize {
        let end = match self.state.get() {
            SeatState::Idle => SeatEnd::WhenIdle,
            SeatState::Arriving | SeatState::Served => SeatEnd::Now,
        };
        self.end.set(Some(end));
        self.is_ending.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
        self.bytes.get()
    }

    /// Returns true if its first request is awaited, or a request arrives, and has been for less than this
    /// time.
    pub(super) fn is_young_arrival(&self, now: Instant, young_time: Duration) -> bool {
        let age = now.saturating_duration_since(self.since.get());
        let is_awaited = self.is_new.get() || self.state.get() == SeatState::Arriving;
        is_awaited && age < young_time
    }

    /// Returns how soon it gives way; `None` if it does not, or ends already.
    pub(super) fn rank(&self, now: Instant) -> Option<SeatRank> {
        if self.is_ending.get() {
            return None;
        }
        let seconds_since = |then: Instant| now.saturating_duration_since(then).as_secs_f64();
        match self.state.get() {
            SeatState::Served => None,
            SeatState::Idle => Some(SeatRank::Idle(seconds_since(self.since.get()))),
            SeatState::Arriving => {
                let stopped = seconds_since(self.progressed.get());
                if stopped >= STALL_TIME.as_secs_f64() {
                    return Some(SeatRank::Stopped(stopped));
                }
                let age = seconds_since(self.since.get()) + YOUNG_TIME.as_secs_f64();
                let moved = self.moved_bytes.get() + YOUNG_BYTES;
                Some(SeatRank::Slow(-(moved as f64) / age))
            }
        }
    }
}

impl Drop for ClientSeat {
    fn drop(&mut self) {
        let bytes = self.bytes.get();
        let is_ending = self.is_ending.get();
        if is_ending {
            self.room.resize_ending(bytes, 0);
        }
        self.room.leave(is_ending);
        self.room.remove(bytes);
    }
}
