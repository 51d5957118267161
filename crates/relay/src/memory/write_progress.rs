use std::{cell::Cell, rc::Rc};

/// Whether the request that a connection carries was written out to its socket.
#[derive(Debug, Clone, Default)]
pub struct WriteProgress {
    state: Rc<WriteState>,
}

#[derive(Debug, Default)]
struct WriteState {
    /// Pieces of the body that the connection has not taken yet.
    pieces_left: Cell<usize>,
    /// False while the connection has taken bytes that the socket has not.
    is_flushed: Cell<bool>,
}

impl WriteProgress {
    /// Begins a request whose body has this number of pieces.
    pub fn begin(&self, piece_count: usize) {
        self.state.pieces_left.set(piece_count);
        self.state.is_flushed.set(false);
    }

    /// Records that the connection takes a piece of the body.
    pub fn record_piece(&self) {
        let left = self.state.pieces_left.get();
        self.state.pieces_left.set(left.saturating_sub(1));
        self.state.is_flushed.set(false);
    }

    /// Records that the socket has taken all bytes that the connection has.
    pub fn record_flush(&self) {
        self.state.is_flushed.set(true);
    }

    /// Returns true once the socket has taken the whole request.
    pub fn is_written(&self) -> bool {
        self.state.pieces_left.get() == 0 && self.state.is_flushed.get()
    }
}
