use {
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Longest time for which a connection is read after its last reply. A connection that is closed with
/// bytes unread is reset, and the client may lose the end of the reply.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Size of the buffer for bytes that are read and dropped.
const DISCARD_BUFFER_BYTES: usize = 4_096;
/// Buffers that are read and dropped before others run.
const MAX_DISCARDS: usize = 16;

/// Reads and drops what still arrives after the last reply.
pub(super) struct SocketLinger {
    end: Pin<Box<Sleep>>,
}

impl SocketLinger {
    pub fn begin() -> Self {
        Self {
            end: Box::pin(sleep(LINGER_TIME)),
        }
    }

    /// It is ready once the client has closed or the time is over.
    pub fn poll(&mut self, stream: &mut TcpStream, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        for _ in 0..MAX_DISCARDS {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.end.as_mut().poll(context),
            }
        }
        context.waker().wake_by_ref();
        self.end.as_mut().poll(context)
    }
}
