use bytes::{Bytes, BytesMut};

/// Splits a byte stream into lines of limited length.
pub struct LineBuffer {
    bytes: BytesMut,
    max_line_bytes: usize,
}

/// Error: the buffered bytes exceed the maximum line length.
#[derive(Debug)]
pub struct LineTooLong;

impl LineBuffer {
    pub fn new(max_line_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            max_line_bytes,
        }
    }

    /// Appends bytes. Fails if more than the maximum line length would be buffered.
    pub fn push(&mut self, chunk: &Bytes) -> Result<(), LineTooLong> {
        if self.bytes.len() + chunk.len() > self.max_line_bytes {
            return Err(LineTooLong);
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
