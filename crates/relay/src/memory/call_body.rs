use {
    crate::memory::WriteProgress,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    room::UploadLease,
    setup::WholeUpload,
    std::{
        convert::Infallible,
        fmt,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Body of a call, in pieces. Its clones share the pieces, and their room until the last is dropped.
#[derive(Clone, Default)]
pub struct CallBody {
    pieces: Arc<BodyPieces>,
}

#[derive(Default)]
struct BodyPieces {
    /// None of them is empty.
    bytes: Vec<Bytes>,
    _lease: Option<UploadLease>,
}

impl CallBody {
    /// Creates a body that has arrived whole.
    pub fn uploaded(upload: WholeUpload) -> Self {
        Self {
            pieces: Arc::new(BodyPieces {
                bytes: upload.pieces,
                _lease: upload.lease,
            }),
        }
    }

    /// Returns the number of bytes.
    ///
    /// ```
    /// assert_eq!(relay::CallBody::from(b"four".to_vec()).len(), 4);
    /// ```
    pub fn len(&self) -> usize {
        self.pieces.bytes.iter().map(Bytes::len).sum()
    }

    /// Returns the bytes, in pieces.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces.bytes
    }

    /// Returns true if there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.pieces.bytes.is_empty()
    }
}

impl<Source: Into<Bytes>> From<Source> for CallBody {
    fn from(bytes: Source) -> Self {
        let bytes: Bytes = bytes.into();
        let pieces = (!bytes.is_empty()).then_some(bytes);
        Self {
            pieces: Arc::new(BodyPieces {
                bytes: pieces.into_iter().collect(),
                _lease: None,
            }),
        }
    }
}

impl fmt::Debug for CallBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CallBody({} bytes)", self.len())
    }
}

impl PartialEq for CallBody {
    fn eq(&self, other: &Self) -> bool {
        let bytes = |body: &Self| body.pieces.bytes.concat();
        bytes(self) == bytes(other)
    }
}

impl Eq for CallBody {}

/// Sends the body of a call.
pub struct BodyReader {
    body: CallBody,
    next_piece: usize,
    progress: WriteProgress,
}

impl BodyReader {
    /// Creates a reader at the beginning of a body.
    pub fn new(body: CallBody) -> Self {
        Self {
            body,
            next_piece: 0,
            progress: WriteProgress::default(),
        }
    }

    /// Records on the connection that sends the body how far it has come.
    pub fn begin(&mut self, progress: &WriteProgress) {
        progress.begin(self.rest().len());
        self.progress = progress.clone();
    }

    fn rest(&self) -> &[Bytes] {
        &self.body.pieces.bytes[self.next_piece..]
    }
}

impl Body for BodyReader {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.rest().first().cloned();
        if piece.is_some() {
            self.next_piece += 1;
            self.progress.record_piece();
        }
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest().is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest().iter().map(Bytes::len);
        SizeHint::with_exact(rest.sum::<usize>() as u64)
    }
}
