use bytes::{Bytes, BytesMut};

/// Cuts a stream of bytes into lines of bounded length.
pub struct LineBuffer {
    bytes: BytesMut,
    limit: usize,
}

/// A line was longer than it may be.
#[derive(Debug)]
pub struct LineTooLong;

impl LineBuffer {
    pub fn new(limit: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            limit,
        }
    }

    /// Takes in the next bytes.
    pub fn push(&mut self, chunk: &Bytes) -> Result<(), LineTooLong> {
        if self.bytes.len() + chunk.len() > self.limit {
            return Err(LineTooLong);
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Takes out the next whole line, without its line feed.
    pub fn next_line(&mut self) -> Option<Bytes> {
        let end = self.bytes.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.bytes.split_to(end + 1);
        line.truncate(end);
        Some(line.freeze())
    }
}
