use {
    crate::memory::answer_room::AnswerLease,
    actix_http::body::{BodySize, MessageBody},
    bytes::Bytes,
    std::{
        collections::VecDeque,
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Size of the slices in which a body is passed on, in bytes.
const SLICE_BYTES: usize = 16 * 1024;

/// Body of an answer that is passed to the server in slices: the server copies what it has not written yet.
/// It gives its room back as its pieces are passed on.
pub struct SlicedBody {
    /// None of them is empty.
    pieces: VecDeque<Bytes>,
    length: usize,
    lease: AnswerLease,
}

impl SlicedBody {
    /// Creates a body of these pieces.
    pub(super) fn new(pieces: Vec<Bytes>, lease: AnswerLease) -> Self {
        Self {
            length: pieces.iter().map(Bytes::len).sum(),
            pieces: pieces.into(),
            lease,
        }
    }

    /// Returns true if there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn next_slice(&mut self) -> Option<Bytes> {
        let piece = self.pieces.front_mut()?;
        let slice = piece.split_to(piece.len().min(SLICE_BYTES));
        self.length -= slice.len();
        if piece.is_empty() {
            self.pieces.pop_front();
            self.lease.shrink(self.length);
        }
        Some(slice)
    }
}

impl MessageBody for SlicedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        Poll::Ready(self.next_slice().map(Ok))
    }
}
