use base::AnswerDigest;

/// What has come of a streamed stage so far, over all its calls.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    pub(crate) tokens: u64,
    pub(crate) digest: AnswerDigest,
    pub(crate) text: Vec<u8>,
}

/// What the next token of a stream means.
pub(crate) enum TokenPosition {
    Next,
    Repeat,
    Gap,
}

impl StreamProgress {
    /// Takes in a token; its text is kept only if a further stage needs it.
    pub(crate) fn take(&mut self, index: u64, text: &str, keep: bool) -> TokenPosition {
        if index < self.tokens {
            return TokenPosition::Repeat;
        }
        if index > self.tokens {
            return TokenPosition::Gap;
        }
        self.tokens += 1;
        self.digest.update(text.as_bytes());
        if keep {
            self.text.extend_from_slice(text.as_bytes());
        }
        TokenPosition::Next
    }

    /// True if the engine's own count and digest say that the answer is whole.
    pub(crate) fn is_whole(&self, tokens: u64, digest: &str) -> bool {
        self.tokens == tokens && self.digest.hex() == digest
    }
}
