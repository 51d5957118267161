use {
    actix_http::body::{BodySize, MessageBody},
    bytes::Bytes,
    std::{
        fmt,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// Error that ends the body of an answer early: the caller's connection is closed, so that the
/// answer does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyCut;

impl fmt::Display for BodyCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was truncated")
    }
}

impl std::error::Error for BodyCut {}

/// Body of an answer that is passed on while it arrives.
pub struct AnswerBody {
    chunks: mpsc::Receiver<Result<Bytes, BodyCut>>,
}

impl AnswerBody {
    /// Creates a body that consists of the chunks received from the channel.
    pub fn new(chunks: mpsc::Receiver<Result<Bytes, BodyCut>>) -> Self {
        Self { chunks }
    }
}

impl MessageBody for AnswerBody {
    type Error = BodyCut;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyCut>>> {
        self.chunks.poll_recv(context)
    }
}
