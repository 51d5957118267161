use bytes::{Bytes, BytesMut};

/// Splits a byte stream into lines, with a limit on the bytes that are buffered.
pub struct LineBuffer {
    bytes: BytesMut,
    max_buffered_bytes: usize,
}

/// Error: more bytes would be buffered than allowed.
#[derive(Debug)]
pub struct BufferFull;

impl LineBuffer {
    pub fn new(max_buffered_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
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
        let end = self.bytes.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.bytes.split_to(end + 1);
        line.truncate(end);
        Some(line.freeze())
    }
}
