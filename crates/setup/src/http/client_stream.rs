use {
    crate::http::{
        OpenConnection, arrived_bytes::ArrivedBytes, open_connection::InputDemand,
        socket_linger::SocketLinger,
    },
    futures_util::future::LocalBoxFuture,
    room::ClientRoom,
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

/// Bytes of a head that are read at once.
const HEAD_BYTES_AT_ONCE: usize = 4 * 1024;
/// Bytes of a body that are read at once.
const BODY_BYTES_AT_ONCE: usize = 7 * 1024;
/// Bytes that stay free in the buffer of the HTTP library: with fewer, it takes a larger one before it has
/// parsed what it was handed.
const FREE_BUFFER_BYTES: usize = 1024;
/// Bytes that are read behind a request that is open, to see whether its client has left.
const MAX_BYTES_AHEAD: usize = 2 * 1024;

/// The socket of a client's connection.
///
/// It hands the HTTP library no more than can be used: one head, then the body as far as its reader asks
/// for it, then nothing until the reply was taken. So the library holds little of what a client sends,
/// and others run in between.
///
/// While the server closes, an idle connection ends once all that has arrived on it was read, so that
/// a request that crosses the close is still served. After the last reply the socket is read for a
/// while before it is closed.
pub(super) struct ClientStream {
    stream: TcpStream,
    connection: Rc<OpenConnection>,
    arrived: ArrivedBytes,
    /// True if bytes were handed over since the library has last seen all that there is.
    has_handed_over: bool,
    /// True if a client that has closed its sending side still gets its answer.
    allows_half_closed: bool,
    /// Resolves when the server closes; `None` once it has.
    closing: Option<LocalBoxFuture<'static, ()>>,
    /// Reads on after the last reply; `None` before it.
    linger: Option<SocketLinger>,
    /// Longest time for which the client may take nothing of what is written.
    write_timeout: Duration,
    /// Ends the wait for the client to take more; `None` while it does.
    write_stall: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Takes a seat in the room for a connection that was accepted.
    pub(super) fn new(
        stream: TcpStream,
        room: &Rc<ClientRoom>,
        closing: LocalBoxFuture<'static, ()>,
        (write_timeout, allows_half_closed): (Duration, bool),
    ) -> Self {
        Self {
            stream,
            connection: Rc::new(OpenConnection::new(room)),
            arrived: ArrivedBytes::default(),
            has_handed_over: false,
            allows_half_closed,
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

    /// Reads from the socket if nothing waits to be handed over. It is ready once something does, or
    /// the client has closed.
    fn poll_fill(&mut self, context: &mut Context<'_>, count: usize) -> Poll<io::Result<()>> {
        if self.arrived.is_empty() && !self.arrived.has_ended() {
            ready!(self.arrived.poll_fill(&self.stream, context, count))?;
            self.connection.set_bytes_ahead(!self.arrived.is_empty());
        }
        Poll::Ready(Ok(()))
    }

    fn hand_over(&mut self, count: usize, buffer: &mut ReadBuf<'_>) {
        self.arrived.hand_over(count, buffer);
        self.connection.set_bytes_ahead(!self.arrived.is_empty());
        self.has_handed_over = true;
    }

    /// Waits for the head of the next request, and hands over what has come of it.
    fn poll_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = self.poll_fill(context, HEAD_BYTES_AT_ONCE)?;
        if filled.is_pending() {
            let is_ending = self.connection.is_idle()
                && (self.is_closing(context) || self.connection.is_unwanted());
            return match is_ending && !self.has_waiting_bytes() {
                // No bytes stand for the end of the connection.
                true => Poll::Ready(Ok(())),
                false => Poll::Pending,
            };
        }
        if self.arrived.is_empty() {
            return Poll::Ready(Ok(()));
        }
        if !self.connection.may_arrive(context.waker()) {
            return Poll::Pending;
        }
        let count = self.arrived.scan_head(usable_bytes(buffer));
        self.connection.record_head(count);
        self.hand_over(count, buffer);
        Poll::Ready(Ok(()))
    }

    /// Waits for more of the body of the open request, and hands it over.
    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_fill(context, BODY_BYTES_AT_ONCE))?;
        if self.arrived.is_empty() {
            return Poll::Ready(Ok(()));
        }
        let bytes = self.arrived.first(usable_bytes(buffer));
        let count = self.connection.take_body(bytes);
        self.hand_over(count, buffer);
        if let Some(window) = self.connection.next_window() {
            // Without it the body only takes longer.
            let _ = SockRef::from(&self.stream).set_recv_buffer_size(window);
        }
        Poll::Ready(Ok(()))
    }

    /// Waits for the client to leave while its request is answered.
    fn poll_leaving(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.arrived.has_ended() && self.arrived.len() < MAX_BYTES_AHEAD {
            let count = MAX_BYTES_AHEAD - self.arrived.len();
            ready!(self.arrived.poll_fill(&self.stream, context, count))?;
            self.connection.set_bytes_ahead(!self.arrived.is_empty());
        }
        let has_left =
            self.arrived.has_ended() && (self.arrived.is_empty() || !self.allows_half_closed);
        match has_left {
            true => Poll::Ready(Ok(())),
            false => Poll::Pending,
        }
    }

    /// Returns once the library should look again, after it was handed something.
    fn poll_again(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let has_more = !self.arrived.is_empty()
            || self.arrived.has_ended()
            || self.stream.poll_read_ready(context)?.is_ready();
        if has_more {
            context.waker().wake_by_ref();
        }
        Poll::Pending
    }
}

/// Returns how many bytes can be handed over without making the buffer of the library larger, or one, by
/// which it takes as much as a long head needs.
fn usable_bytes(buffer: &ReadBuf<'_>) -> usize {
    buffer.remaining().saturating_sub(FREE_BUFFER_BYTES).max(1)
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if self.connection.must_end() || self.write_stall.is_some() {
            // The kernel would keep what the client does not take, for a connection that nobody counts.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        self.connection.close();
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.wake_reader(context.waker());
        if self.connection.must_end() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if std::mem::take(&mut self.has_handed_over) {
            return self.poll_again(context);
        }
        match self.connection.demand() {
            InputDemand::Head => self.poll_head(context, buffer),
            InputDemand::Body => self.poll_body(context, buffer),
            InputDemand::Hold => Poll::Pending,
            InputDemand::Answer => self.poll_leaving(context),
            InputDemand::End => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.must_end() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            self.write_stall = None;
            self.connection
                .record_taken(written.as_ref().copied().unwrap_or(0));
            return Poll::Ready(written);
        }
        self.connection.wake_reader(context.waker());
        if let Some(window) = self.connection.record_unread(bytes.len()) {
            // Without it the reply only takes longer.
            let _ = SockRef::from(&self.stream).set_send_buffer_size(window);
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
            self.linger = Some(SocketLinger::begin());
        }
        self.connection.wake_reader(context.waker());
        let is_unwanted = self.connection.is_unwanted();
        if self.connection.must_end() || is_unwanted && !self.has_waiting_bytes() {
            // Others wait for its room, and no bytes are unread for which it would be reset.
            return Poll::Ready(Ok(()));
        }
        let Self { stream, linger, .. } = &mut *self;
        match linger {
            Some(linger) => linger.poll(stream, context).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
