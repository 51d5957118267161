use base::AnswerDigest;

/// What was received of a streamed stage so far, over all its calls.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    /// Number of tokens received.
    pub(crate) tokens: u64,
    /// Digest of their texts.
    pub(crate) digest: AnswerDigest,
    /// Their texts, if a further stage needs them.
    pub(crate) text: Vec<u8>,
}

/// Position of a token relative to the tokens received before.
pub(crate) enum TokenPosition {
    /// The next token.
    Next,
    /// A token that was received before.
    Repeat,
    /// A later token than the next one.
    Gap,
}

impl StreamProgress {
    /// Records a token if it is the next one; keeps its text if `keep_text` is set.
    pub(crate) fn record_token(
        &mut self,
        index: u64,
        text: &str,
        keep_text: bool,
    ) -> TokenPosition {
        if index < self.tokens {
            return TokenPosition::Repeat;
        }
        if index > self.tokens {
            return TokenPosition::Gap;
        }
        self.tokens += 1;
        self.digest.update(text.as_bytes());
        if keep_text {
            self.text.extend_from_slice(text.as_bytes());
        }
        TokenPosition::Next
    }

    /// True if all tokens were received, given the engine's token count and digest.
    pub(crate) fn is_complete(&self, tokens: u64, digest: &str) -> bool {
        self.tokens == tokens && self.digest.hex() == digest
    }
}
