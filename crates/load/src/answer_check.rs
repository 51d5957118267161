use {
    crate::{AnswerFault, PipelineLoad, PlannedRequest},
    base::{AnswerDigest, FailureReport, StreamEvent},
    stand::{EchoRule, EchoStage},
};

/// State of an answer, judged by the part of it that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerState {
    /// The answer is correct so far and not complete yet.
    Incomplete,
    /// The answer is correct and complete.
    Whole,
    /// The entry reported that the request failed.
    Failed(FailureReport),
    /// The answer is wrong although the entry did not report a failure, which must never happen.
    Faulty(AnswerFault),
}

/// Checks an answer against the expected one, which follows from the request because the simulated
/// targets echo their input by a fixed rule.
///
/// ```
/// use load::{AnswerCheck, AnswerState};
///
/// let check = AnswerCheck::new(b"whole answer".to_vec());
/// let digest = base::AnswerDigest::of(b"whole answer");
/// let state = check.verify_unary(b"whole answer", Some(12), Some(&digest.hex()));
/// assert_eq!(state, AnswerState::Whole);
/// ```
#[derive(Debug, Clone)]
pub struct AnswerCheck {
    /// The whole correct answer.
    expected: Vec<u8>,
    /// Digest of the tokens received so far.
    received_digest: AnswerDigest,
    /// Number of tokens received so far.
    token_count: u64,
}

impl AnswerCheck {
    /// Creates a check against a known answer.
    pub fn new(expected: Vec<u8>) -> Self {
        Self {
            expected,
            received_digest: AnswerDigest::new(),
            token_count: 0,
        }
    }

    /// Creates a check against the answer that the pipeline's stages compute for the request.
    pub fn for_request(pipeline: &PipelineLoad, planned: &PlannedRequest) -> Self {
        let stages: Vec<EchoStage> = pipeline
            .stage
            .iter()
            .map(|stage| match stage.engine {
                true => EchoStage::Engine,
                false => EchoStage::Plain(stage.call.clone()),
            })
            .collect();
        let input = planned.body.as_bytes();
        let (customer, request) = (&planned.customer, &planned.request);
        Self::new(EchoRule::pipeline_answer(customer, request, input, &stages))
    }

    /// Checks a unary answer; `length` and `digest` are the values of its headers. It is broken if
    /// the headers do not fit the body, cut if the body is only the beginning of the correct
    /// answer, and misdelivered if the body is any other answer.
    pub fn verify_unary(
        &self,
        body: &[u8],
        length: Option<u64>,
        digest: Option<&str>,
    ) -> AnswerState {
        let actual = AnswerDigest::of(body);
        let matches_headers =
            length == Some(actual.length()) && digest == Some(actual.hex().as_str());
        if !matches_headers {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        self.classify(body == self.expected, body.len(), || {
            self.expected.starts_with(body)
        })
    }

    /// Checks the next event of a streamed answer. It is broken if a token is out of sequence or
    /// the last event does not fit the tokens, cut if tokens are missing at the end, and
    /// misdelivered if a token is not the correct one.
    pub fn verify_event(&mut self, event: StreamEvent) -> AnswerState {
        match event {
            StreamEvent::Begin { .. } => AnswerState::Incomplete,
            StreamEvent::Token { index, text } => self.verify_token(index, &text),
            StreamEvent::End {
                tokens,
                length,
                digest,
            } => self.verify_end(tokens, length, &digest),
            StreamEvent::Failed { report } => AnswerState::Failed(report),
        }
    }

    /// Returns the number of tokens received in sequence so far.
    pub fn token_count(&self) -> u64 {
        self.token_count
    }

    fn verify_token(&mut self, index: u64, text: &str) -> AnswerState {
        if index != self.token_count {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        self.token_count += 1;
        let start = usize::try_from(self.received_digest.length()).unwrap_or(usize::MAX);
        let expected_rest = self.expected.get(start..).unwrap_or_default();
        if !expected_rest.starts_with(text.as_bytes()) {
            return AnswerState::Faulty(AnswerFault::Misdelivered);
        }
        self.received_digest.update(text.as_bytes());
        AnswerState::Incomplete
    }

    fn verify_end(&self, tokens: u64, length: u64, digest: &str) -> AnswerState {
        let matches_tokens = tokens == self.token_count
            && length == self.received_digest.length()
            && digest == self.received_digest.hex();
        if !matches_tokens {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        let received_bytes = usize::try_from(length).unwrap_or(usize::MAX);
        // `verify_token` has checked that all tokens together are a prefix of the expected answer.
        self.classify(
            received_bytes == self.expected.len(),
            received_bytes,
            || true,
        )
    }

    /// Returns the state of a complete answer whose length and digest are consistent.
    fn classify(
        &self,
        is_expected: bool,
        received_bytes: usize,
        is_prefix: impl FnOnce() -> bool,
    ) -> AnswerState {
        if is_expected {
            AnswerState::Whole
        } else if received_bytes < self.expected.len() && is_prefix() {
            AnswerState::Faulty(AnswerFault::Cut)
        } else {
            AnswerState::Faulty(AnswerFault::Misdelivered)
        }
    }
}
