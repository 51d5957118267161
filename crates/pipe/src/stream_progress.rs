use base::AnswerDigest;

/// Tokens received for a streamed stage so far, over all its calls.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    /// Number of tokens received.
    pub(crate) token_count: u64,
    /// Digest of the token texts.
    pub(crate) digest: AnswerDigest,
    /// Token texts in order, kept only if a further stage needs them as its input.
    pub(crate) text: Vec<u8>,
}

/// Position of a token relative to the tokens received before.
pub(crate) enum TokenPosition {
    /// The next token.
    Next,
    /// A token that was received before.
    Repeat,
    /// A later token than the next one, so that at least one token is missing.
    Gap,
}

impl StreamProgress {
    /// Records a token if it is the next one, with its text if `keep_text` is true.
    pub(crate) fn record_token(
        &mut self,
        index: u64,
        text: &str,
        keep_text: bool,
    ) -> TokenPosition {
        if index < self.token_count {
            return TokenPosition::Repeat;
        }
        if index > self.token_count {
            return TokenPosition::Gap;
        }
        self.token_count += 1;
        self.digest.update(text.as_bytes());
        if keep_text {
            self.text.extend_from_slice(text.as_bytes());
        }
        TokenPosition::Next
    }

    /// True if the received tokens match the token count and digest that the engine reported.
    pub(crate) fn is_complete(&self, token_count: u64, digest: &str) -> bool {
        self.token_count == token_count && self.digest.hex() == digest
    }
}
