use {
    crate::http::OpenConnection,
    std::{
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The socket of a client's connection. It tells the connection what was read and written.
pub(super) struct ClientStream {
    stream: TcpStream,
    connection: Rc<OpenConnection>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            connection: Rc::default(),
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
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// Called by the server once it has written all that was waiting.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
