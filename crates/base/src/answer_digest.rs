/// Running length and digest of an answer, so that a cut is never taken for an end.
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
    /// Digest of an answer of which nothing has come yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Digest of an answer that is already whole.
    pub fn of(answer: &[u8]) -> Self {
        let mut digest = Self::new();
        digest.update(answer);
        digest
    }

    /// Takes in the next bytes of the answer.
    pub fn update(&mut self, bytes: &[u8]) {
        self.hasher.update(bytes);
        self.length += bytes.len() as u64;
    }

    /// Bytes taken in so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Digest of the bytes so far, in hexadecimal.
    pub fn hex(&self) -> String {
        self.hasher.finalize().to_hex().to_string()
    }
}
