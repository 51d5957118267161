use {
    bytes::{Buf, BufMut, BytesMut},
    std::{
        io,
        task::{Context, Poll, ready},
    },
    tokio::{io::ReadBuf, net::TcpStream},
};

/// Bytes that were read from a socket and not handed over.
#[derive(Default)]
pub(super) struct ArrivedBytes {
    bytes: BytesMut,
    has_ended: bool,
    /// True if the line of a head that was scanned last has no character yet.
    is_line_empty: bool,
}

impl ArrivedBytes {
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns true once the client has closed its sending side.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns the first bytes, this many at the most.
    pub fn first(&self, count: usize) -> &[u8] {
        &self.bytes[..count.min(self.bytes.len())]
    }

    /// Reads this many bytes at the most; it is ready once some were read or the client has closed.
    pub fn poll_fill(
        &mut self,
        stream: &TcpStream,
        context: &mut Context<'_>,
        count: usize,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(stream.poll_read_ready(context))?;
            self.bytes.reserve(count);
            match stream.try_read_buf(&mut (&mut self.bytes).limit(count)) {
                Ok(read_count) => {
                    self.has_ended = read_count == 0;
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.free_if_empty(),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Returns how many of the first bytes, `most` at the most, are before the end of a head, with the
    /// empty line that ends it.
    pub fn scan_head(&mut self, most: usize) -> usize {
        let most = most.min(self.bytes.len());
        for (at, byte) in self.bytes[..most].iter().enumerate() {
            match byte {
                b'\n' if self.is_line_empty => {
                    self.is_line_empty = false;
                    return at + 1;
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        most
    }

    /// Moves the first bytes into a buffer.
    pub fn hand_over(&mut self, count: usize, buffer: &mut ReadBuf<'_>) {
        buffer.put_slice(&self.bytes[..count]);
        self.bytes.advance(count);
        self.free_if_empty();
    }

    /// Gives the memory back that an idle connection does not need.
    fn free_if_empty(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
    }
}
