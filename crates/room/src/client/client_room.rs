use {
    crate::client::{
        ClientSeat, RoomCounts,
        client_seat::{SeatRank, YOUNG_TIME},
    },
    std::{
        cell::{Cell, RefCell},
        future::poll_fn,
        rc::{Rc, Weak},
        sync::Arc,
        task::{Poll, Waker},
        time::{Duration, Instant},
    },
};

/// Seats that are remembered in any case, those that were given back included.
const MIN_REMEMBERED: usize = 64;

/// Room for the connections of clients at one address, in bytes.
///
/// A connection takes a seat, whose bytes are what it costs at the most until it takes more. Where the
/// room is exceeded, connections whose clients have stopped give way first, the longest stopped before
/// all; then idle ones, the oldest first; then those that move the fewest bytes for their time.
/// Connections whose clients wait for the process stay.
pub struct ClientRoom {
    limit: usize,
    held: Cell<usize>,
    /// Bytes of the connections that were told to end, and their number.
    ending: Cell<usize>,
    ending_count: Cell<usize>,
    seats: RefCell<Vec<Weak<ClientSeat>>>,
    /// Seats that are taken.
    seat_count: Cell<usize>,
    /// Wakes those who wait for room.
    waiting: RefCell<Vec<Waker>>,
    counts: Arc<RoomCounts>,
}

impl ClientRoom {
    /// Creates an empty room for this number of bytes.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let room = room::ClientRoom::new(100_000);
    /// let seat = room.take_seat(30_000, Instant::now());
    /// assert!(room.has_space(70_000) && !room.has_space(70_001));
    /// drop(seat);
    /// assert_eq!(room.counts().held(), 0);
    /// ```
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            held: Cell::new(0),
            ending: Cell::new(0),
            ending_count: Cell::new(0),
            seats: RefCell::default(),
            seat_count: Cell::new(0),
            waiting: RefCell::default(),
            counts: Arc::default(),
        })
    }

    /// Returns the bytes that connections may take.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the figures of the room.
    pub fn counts(&self) -> &Arc<RoomCounts> {
        &self.counts
    }

    /// Returns the number of connections that were not told to end.
    pub fn staying_count(&self) -> usize {
        self.seat_count.get() - self.ending_count.get()
    }

    /// Returns true if there is room for this number of bytes.
    pub fn has_space(&self, bytes: usize) -> bool {
        self.held.get() + bytes <= self.limit
    }

    /// Takes a seat for a connection, also if the room is exceeded by it.
    pub fn take_seat(self: &Rc<Self>, bytes: usize, now: Instant) -> Rc<ClientSeat> {
        let seat = Rc::new(ClientSeat::new(self, bytes, now));
        let mut seats = self.seats.borrow_mut();
        if seats.len() > 2 * self.seat_count.get() + MIN_REMEMBERED {
            seats.retain(|seat| seat.strong_count() > 0);
        }
        self.seat_count.set(self.seat_count.get() + 1);
        seats.push(Rc::downgrade(&seat));
        seat
    }

    /// Has connections give way until there will be room for this number of bytes; returns false if that
    /// is not enough.
    pub fn make_room(&self, bytes: usize, now: Instant) -> bool {
        while self.held.get() - self.ending.get() + bytes > self.limit {
            if !self.end_one(now, Duration::ZERO) {
                return false;
            }
        }
        true
    }

    /// Has connections give way to a new one, of this number of bytes, until there will be room for it and
    /// no more than this number of others stay; those that have just been accepted, or on which a request has just
    /// begun to arrive, do not.
    pub fn make_room_for_new(&self, bytes: usize, max_others: usize, now: Instant) {
        let is_full = || self.held.get() - self.ending.get() + bytes > self.limit;
        while is_full() || self.staying_count() > max_others {
            if !self.end_one(now, YOUNG_TIME) {
                return;
            }
        }
    }

    /// Has the connection end whose client has stopped for the longest time, if one has.
    pub fn end_stopped(&self, now: Instant) {
        let seats = self.seats.borrow();
        let seats = seats.iter().filter_map(Weak::upgrade);
        let stopped = seats.filter_map(|seat| match seat.rank(now) {
            Some(SeatRank::Stopped(seconds)) => Some((seconds, seat)),
            _ => None,
        });
        let longest = stopped.max_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((_, seat)) = longest {
            self.tell_end(&seat);
        }
    }

    /// Has the connection end that gives way first, of those whose request has been arriving for a while;
    /// returns false if none does.
    fn end_one(&self, now: Instant, min_arriving: Duration) -> bool {
        let seats = self.seats.borrow();
        let ranked = seats.iter().filter_map(Weak::upgrade);
        let ranked = ranked.filter(|seat| !seat.is_young_arrival(now, min_arriving));
        let ranked = ranked.filter_map(|seat| Some((seat.rank(now)?, seat)));
        // Of equal ones the first, which is the oldest.
        let first = ranked.reduce(|first, next| match next.0 > first.0 {
            true => next,
            false => first,
        });
        let Some((_, seat)) = first else {
            return false;
        };
        self.tell_end(&seat);
        true
    }

    fn tell_end(&self, seat: &ClientSeat) {
        self.ending.set(self.ending.get() + seat.tell_end());
        self.ending_count.set(self.ending_count.get() + 1);
        self.counts.count_ended();
    }

    /// Counts a connection that was closed since there was no room.
    pub fn count_refused(&self) {
        self.counts.count_refused();
    }

    /// Waits until bytes are given back and the room is not exceeded.
    pub async fn until_freed(&self) {
        let mut is_waiting = false;
        poll_fn(|context| {
            if std::mem::replace(&mut is_waiting, true) {
                return Poll::Ready(());
            }
            self.wait(context.waker());
            Poll::Pending
        })
        .await;
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.held.get() > self.limit
    }

    pub(super) fn wait(&self, waker: &Waker) {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|known| known.will_wake(waker)) {
            waiting.push(waker.clone());
        }
    }

    pub(super) fn add(&self, bytes: usize) {
        self.set_held(self.held.get() + bytes);
    }

    pub(super) fn remove(&self, bytes: usize) {
        self.set_held(self.held.get() - bytes);
        if !self.is_exceeded() {
            for waker in self.waiting.take() {
                waker.wake();
            }
        }
    }

    /// Records that a connection that was told to end takes another number of bytes.
    pub(super) fn resize_ending(&self, known: usize, bytes: usize) {
        self.ending.set(self.ending.get() - known + bytes);
    }

    /// Records that a connection that was told to end stays.
    pub(super) fn keep(&self, bytes: usize) {
        self.ending.set(self.ending.get() - bytes);
        self.ending_count.set(self.ending_count.get() - 1);
    }

    /// Records that a seat was given back.
    pub(super) fn leave(&self, was_ending: bool) {
        self.seat_count.set(self.seat_count.get() - 1);
        let ending_count = self.ending_count.get();
        self.ending_count
            .set(ending_count - usize::from(was_ending));
    }

    fn set_held(&self, bytes: usize) {
        self.held.set(bytes);
        self.counts.set_held(bytes);
    }
}
