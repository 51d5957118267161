use {
    actix_http::body::{BodySize, MessageBody},
    bytes::Bytes,
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Size of the slices in which a body is passed on, in bytes.
const SLICE_BYTES: usize = 16 * 1024;

/// Body that is passed to the server in slices: the server copies what it has not written yet.
pub struct SlicedBody {
    rest: Bytes,
}

impl SlicedBody {
    /// Creates a body with these bytes.
    pub fn new(bytes: Bytes) -> Self {
        Self { rest: bytes }
    }
}

impl MessageBody for SlicedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let count = self.rest.len().min(SLICE_BYTES);
        let slice = self.rest.split_to(count);
        Poll::Ready((count > 0).then_some(Ok(slice)))
    }
}
