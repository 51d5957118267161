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
        while at < bytes.len() && !self.has_ended() && chunk_count < max_chunks {
            if self.state == ScanState::Data {
                let rest = usize::try_from(self.size).unwrap_or(usize::MAX);
                let count = rest.min(bytes.len() - at);
                self.size -= count as u64;
                at += count;
                if self.size == 0 {
                    self.state = ScanState::DataEnd;
                }
                continue;
            }
            let was_behind_data = self.state == ScanState::DataEnd;
            self.step(bytes[at]);
            at += 1;
            chunk_count += usize::from(was_behind_data && self.state == ScanState::Size);
        }
        at
    }

    /// Scans one byte that is not in a chunk.
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
            (ScanState::DataEnd, b'\n') => ScanState::Size,
            (ScanState::TrailerStart, b'\n') => ScanState::Ended,
            (ScanState::TrailerStart, b'\r') => ScanState::TrailerStart,
            (ScanState::Trailer, b'\n') => ScanState::TrailerStart,
            (ScanState::TrailerStart | ScanState::Trailer, _) => ScanState::Trailer,
            (state, _) => state,
        };
    }
}
