use {
    crate::http::OpenConnection,
    futures_util::future::LocalBoxFuture,
    socket2::SockRef,
    std::{
        future::Future,
        io,
        mem::MaybeUninit,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Longest time for which a connection is read after its last reply. A connection that is closed with
/// bytes unread is reset, and the client may lose the end of the reply.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Size of the buffer for bytes that are read and dropped.
const DISCARD_BUFFER_BYTES: usize = 4_096;

/// The socket of a client's connection.
///
/// While the server closes, an idle connection ends once all that has arrived on it was read, so that
/// a request that crosses the close is still served. After the last reply the socket is read for a
/// while before it is closed.
pub(super) struct ClientStream {
    stream: TcpStream,
    connection: Rc<OpenConnection>,
    /// Resolves when the server closes; `None` once it has.
    closing: Option<LocalBoxFuture<'static, ()>>,
    /// Ends the reading after the last reply; `None` before it.
    linger: Option<Pin<Box<Sleep>>>,
    /// Longest time for which the client may take nothing of what is written.
    write_timeout: Duration,
    /// Ends the wait for the client to take more; `None` while it does.
    write_stall: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub(super) fn new(
        stream: TcpStream,
        closing: LocalBoxFuture<'static, ()>,
        write_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            connection: Rc::default(),
            closing: Some(closing),
            linger: None,
            write_timeout,
            write_stall: None,
        }
    }

    /// Has replies sent without delay.
    pub(super) fn set_nodelay(&self) {
        // It only makes replies slower if it fails.
        let _ = self.stream.set_nodelay(true);
    }

    /// Returns what is known of the connection.
    pub(super) fn connection(&self) -> &Rc<OpenConnection> {
        &self.connection
    }

    fn is_closing(&mut self, context: &mut Context<'_>) -> bool {
        let Some(closing) = &mut self.closing else {
            return true;
        };
        let is_closing = closing.as_mut().poll(context).is_ready();
        if is_closing {
            self.closing = None;
        }
        is_closing
    }

    /// Returns true if bytes have arrived, or the end of the connection, of which the runtime may not
    /// know yet.
    fn has_waiting_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_ok()
    }

    /// Reads and drops what still arrives, until the client closes or the time is over.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => break,
            }
        }
        match &mut self.linger {
            Some(linger) => linger.as_mut().poll(context),
            None => Poll::Ready(()),
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connection.close();
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let known_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > known_bytes {
            self.connection.record_read();
        }
        if read.is_ready() {
            return read;
        }
        if !self.connection.is_idle() {
            // It ends at the earliest once it is.
            self.connection.wake_when_idle(context.waker());
            return Poll::Pending;
        }
        self.connection.wake_when_unwanted(context.waker());
        let is_ending = self.is_closing(context) || self.connection.is_unwanted();
        match is_ending && !self.has_waiting_bytes() {
            // No bytes stand for the end of the connection.
            true => Poll::Ready(Ok(())),
            false => Poll::Pending,
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            self.write_stall = None;
            return Poll::Ready(written);
        }
        let timeout = self.write_timeout;
        let stall = self
            .write_stall
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(stall.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Called by the server once it has written all that was waiting.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            if self.connection.is_unwanted() {
                // It was idle, and others wait for its descriptor.
                return Poll::Ready(Ok(()));
            }
            self.linger = Some(Box::pin(sleep(LINGER_TIME)));
        }
        self.poll_linger(context).map(Ok)
    }
}
