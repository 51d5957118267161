/// Finds the end of a body that comes in chunks, without changing or checking it: that is left to the HTTP
/// library.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ChunkScanner {
    state: ScanState,
    /// Size of the chunk as far as it was read, then the bytes of it that are still to come.
    size: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ScanState {
    /// In the digits of a chunk's size.
    #[default]
    Size,
    /// In what may follow the size on its line.
    Extension,
    /// In the bytes of a chunk.
    Data,
    /// Behind the bytes of a chunk.
    DataEnd,
    /// At the beginning of a line behind the last chunk.
    TrailerStart,
    /// In such a line.
    Trailer,
    Ended,
}

impl ChunkScanner {
    /// Returns true once the last byte of the body was scanned.
    pub fn has_ended(&self) -> bool {
        self.state == ScanState::Ended
    }

    /// Scans until this many chunks have ended, or the body has; returns the number of bytes scanned.
    pub fn scan(&mut self, bytes: &[u8], max_chunks: usize) -> usize {
        let (mut at, mut chunk_count) = (0, 0);
        while at < bytes.len() && chunk_count < max_chunks {
            match self.state {
                ScanState::Ended => break,
                ScanState::Data => {
                    at += self.skip_data(bytes.len() - at);
                    continue;
                }
                ScanState::DataEnd if bytes[at] == b'\n' => {
                    self.state = ScanState::Size;
                    chunk_count += 1;
                }
                _ => self.step(bytes[at]),
            }
            at += 1;
        }
        at
    }

    /// Passes over bytes of a chunk, of which this many are there; returns their number.
    fn skip_data(&mut self, available: usize) -> usize {
        let rest = usize::try_from(self.size).unwrap_or(usize::MAX);
        let count = rest.min(available);
        self.size -= count as u64;
        if self.size == 0 {
            self.state = ScanState::DataEnd;
        }
        count
    }

    /// Scans one byte of a line that is not the end of a chunk.
    fn step(&mut self, byte: u8) {
        self.state = match (self.state, byte) {
            (ScanState::Size | ScanState::Extension, b'\n') => match self.size {
                0 => ScanState::TrailerStart,
                _ => ScanState::Data,
            },
            (ScanState::Size, _) => match char::from(byte).to_digit(16) {
                Some(digit) => {
                    self.size = self.size.saturating_mul(16).saturating_add(digit.into());
                    ScanState::Size
                }
                None => ScanState::Extension,
            },
            (ScanState::TrailerStart, b'\n') => ScanState::Ended,
            (ScanState::TrailerStart, b'\r') => ScanState::TrailerStart,
            (ScanState::Trailer, b'\n') => ScanState::TrailerStart,
            (ScanState::TrailerStart | ScanState::Trailer, _) => ScanState::Trailer,
            (state, _) => state,
        };
    }
}
