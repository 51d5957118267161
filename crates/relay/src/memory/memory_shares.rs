/// Share of the memory for the bodies of requests.
const UPLOAD_SHARE: f64 = 0.55;
/// Share of the memory for answers that are not streamed.
const ANSWER_SHARE: f64 = 0.15;

/// What the parts of an entry may use of the memory of the process. The rest is for connections,
/// streams and state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    bytes: u64,
}

impl MemoryShares {
    /// Divides the memory of a process, in bytes.
    pub fn new(bytes: u64) -> Self {
        Self { bytes }
    }

    /// Returns the number of bytes that the bodies of requests may use.
    pub fn upload_bytes(self) -> usize {
        self.share(UPLOAD_SHARE)
    }

    /// Returns the number of bytes that answers that are not streamed may use.
    pub fn answer_bytes(self) -> usize {
        self.share(ANSWER_SHARE)
    }

    fn share(self, share: f64) -> usize {
        (self.bytes as f64 * share) as usize
    }
}
