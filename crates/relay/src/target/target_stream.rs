use {
    crate::memory::WriteProgress,
    socket2::SockRef,
    std::{
        cell::Cell,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that the kernel keeps of what arrives, unless a long answer is read.
pub const SHORT_WINDOW_BYTES: usize = 32 * 1024;
/// Bytes that the kernel keeps of what arrives while a long answer is read, if it allows as many.
const WIDE_WINDOW_BYTES: usize = 1024 * 1024;

/// Bytes of a request that the kernel takes beyond what the other side has room for. What it takes counts as
/// written.
const UNSENT_BYTES: u32 = 16 * 1024;

/// Sets how much the kernel keeps of what arrives on a connection, from the next read on.
///
/// What the kernel chooses by itself grows while a connection is read, and stays when it is not: a stream whose caller
/// does not read it, or an answer that waits for room, would fill it.
#[derive(Debug, Clone, Default)]
pub struct WindowControl {
    is_wide: Rc<Cell<bool>>,
    /// `None` if nothing is to be changed.
    wanted_bytes: Rc<Cell<Option<usize>>>,
}

impl WindowControl {
    /// Has the kernel keep little.
    pub fn shorten(&self) {
        if self.is_wide.replace(false) {
            self.wanted_bytes.set(Some(SHORT_WINDOW_BYTES));
        }
    }

    /// Has the kernel keep more, for an answer that is read as fast as it arrives.
    pub fn widen(&self) {
        if !self.is_wide.replace(true) {
            self.wanted_bytes.set(Some(WIDE_WINDOW_BYTES));
        }
    }
}

/// The socket of a connection to a target, or to another server that is called.
pub struct TargetStream {
    stream: TcpStream,
    /// `None` if the kernel chooses how much it keeps of what arrives.
    window: Option<WindowControl>,
    progress: WriteProgress,
}

impl TargetStream {
    /// Creates it from an open connection.
    pub fn new(stream: TcpStream) -> Self {
        Self::create(stream, None)
    }

    /// Creates it from an open connection, of which the kernel keeps little until its window is widened.
    pub fn with_short_window(stream: TcpStream) -> Self {
        set_receive_buffer(&stream, SHORT_WINDOW_BYTES);
        Self::create(stream, Some(WindowControl::default()))
    }

    fn create(stream: TcpStream, window: Option<WindowControl>) -> Self {
        // Without it more of a request counts as written than the other side may have.
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES);
        Self {
            stream,
            window,
            progress: WriteProgress::default(),
        }
    }

    /// Returns what sets the bytes that the kernel keeps; `None` if the kernel chooses them.
    pub fn window(&self) -> Option<&WindowControl> {
        self.window.as_ref()
    }

    /// Returns what tells whether a request was written out.
    pub fn progress(&self) -> &WriteProgress {
        &self.progress
    }
}

/// Without it the kernel keeps as much as it chooses.
fn set_receive_buffer(stream: &TcpStream, byte_count: usize) {
    let _ = SockRef::from(stream).set_recv_buffer_size(byte_count);
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wanted = self
            .window
            .as_ref()
            .map(|window| window.wanted_bytes.take());
        if let Some(byte_count) = wanted.flatten() {
            set_receive_buffer(&self.stream, byte_count);
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            // The connection flushes once it has written all that it has.
            self.progress.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
