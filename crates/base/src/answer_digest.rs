/// Incremental length and BLAKE3 digest of an answer. The receiver compares both with the
/// sender's to tell a truncated answer from a complete one.
///
/// ```
/// let mut digest = base::AnswerDigest::new();
/// digest.update(b"whole ");
/// digest.update(b"answer");
/// assert_eq!(digest.length(), 12);
/// assert_eq!(digest.hex(), base::AnswerDigest::of(b"whole answer").hex());
/// ```
#[derive(Debug, Clone, Default)]
pub struct AnswerDigest {
    hasher: blake3::Hasher,
    length: u64,
}

impl AnswerDigest {
    /// Creates the digest of an empty answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Computes the digest of a complete answer.
    pub fn of(answer: &[u8]) -> Self {
        let mut digest = Self::new();
        digest.update(answer);
        digest
    }

    /// Appends the next bytes of the answer.
    pub fn update(&mut self, bytes: &[u8]) {
        self.hasher.update(bytes);
        self.length += bytes.len() as u64;
    }

    /// Returns the number of bytes appended so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of the bytes appended so far, in hexadecimal.
    pub fn hex(&self) -> String {
        self.hasher.finalize().to_hex().to_string()
    }
}
