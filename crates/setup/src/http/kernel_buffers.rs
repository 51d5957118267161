use {
    crate::http::{
        body_framing::BodyFraming,
        connection_cost::{
            LONG_BODY_BYTES, LONG_REPLY_BYTES, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES,
            WIDE_BUFFER_BYTES, WIDE_SEND_BYTES,
        },
    },
    room::ClientSeat,
    std::{cell::Cell, time::Instant},
};

/// What the kernel keeps for a connection beyond what it keeps for each, in bytes.
#[derive(Default)]
pub(super) struct KernelBuffers {
    /// Of bytes that arrive.
    receive_bytes: Cell<usize>,
    /// Of replies. It stays until the connection ends: the kernel does not tell when they were taken.
    send_bytes: Cell<usize>,
}

impl KernelBuffers {
    /// Returns the sum of both.
    pub fn extra_bytes(&self) -> usize {
        self.receive_bytes.get() + self.send_bytes.get()
    }

    /// Returns the size that the buffer for bytes that arrive should have from now on, if that has changed:
    /// more while a body arrives that states to be long, provided that there is room for it without others
    /// giving way.
    pub fn next_receive(&self, seat: &ClientSeat, framing: &BodyFraming) -> Option<usize> {
        let more_bytes = WIDE_BUFFER_BYTES - RECEIVE_BUFFER_BYTES;
        if framing.has_left(LONG_BODY_BYTES) && widen(&self.receive_bytes, more_bytes, seat) {
            return Some(WIDE_BUFFER_BYTES);
        }
        if framing.is_whole() && self.receive_bytes.take() > 0 {
            seat.resize(seat.bytes() - more_bytes, Instant::now());
            return Some(RECEIVE_BUFFER_BYTES);
        }
        None
    }

    /// Returns the size that the buffer for replies should have from now on, now that a client leaves this
    /// many bytes of one unread, if that has changed: more for a long reply, provided that there is room for
    /// it without others giving way. Short replies, one behind the other, would only fill it.
    pub fn next_send(&self, seat: &ClientSeat, unread_bytes: usize) -> Option<usize> {
        let more_bytes = WIDE_SEND_BYTES - SEND_BUFFER_BYTES;
        let is_long = unread_bytes >= LONG_REPLY_BYTES;
        (is_long && widen(&self.send_bytes, more_bytes, seat)).then_some(WIDE_SEND_BYTES)
    }
}

/// Takes room for a larger buffer; returns false if it is large already, or there is no room.
fn widen(extra_bytes: &Cell<usize>, more_bytes: usize, seat: &ClientSeat) -> bool {
    if extra_bytes.get() > 0 || !seat.has_space(more_bytes) {
        return false;
    }
    extra_bytes.set(more_bytes);
    seat.resize(seat.bytes() + more_bytes, Instant::now());
    true
}
