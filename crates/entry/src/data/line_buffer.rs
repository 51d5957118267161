use bytes::{Bytes, BytesMut};

/// Splits a byte stream into lines, with a limit on the bytes that are buffered.
pub struct LineBuffer {
    bytes: BytesMut,
    /// Number of leading bytes that are known to contain no line feed: a line may come byte by byte.
    searched_bytes: usize,
    max_buffered_bytes: usize,
}

/// Error: more bytes would be buffered than allowed.
#[derive(Debug)]
pub struct BufferFull;

impl LineBuffer {
    pub fn new(max_buffered_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            searched_bytes: 0,
            max_buffered_bytes,
        }
    }

    /// Appends bytes. Fails if the buffer would exceed its maximum size.
    pub fn push(&mut self, chunk: &Bytes) -> Result<(), BufferFull> {
        if self.bytes.len() + chunk.len() > self.max_buffered_bytes {
            return Err(BufferFull);
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Removes and returns the next complete line, without its line feed.
    pub fn next_line(&mut self) -> Option<Bytes> {
        let unsearched = &self.bytes[self.searched_bytes..];
        let Some(end) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched_bytes = self.bytes.len();
            return None;
        };
        let end = self.searched_bytes + end;
        self.searched_bytes = 0;
        let mut line = self.bytes.split_to(end + 1);
        line.truncate(end);
        Some(line.freeze())
    }
}
