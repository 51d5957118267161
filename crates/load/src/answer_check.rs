use {
    crate::{AnswerFault, PipelineLoad, PlannedRequest},
    base::{AnswerDigest, FailureReport, StreamEvent},
    stand::{EchoRule, EchoStage},
};

/// Verdict on an answer, or on the part of it that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerState {
    /// The answer is correct so far and not complete yet.
    Incomplete,
    /// The answer is correct and complete.
    Whole,
    /// The entry reported that the request failed.
    Failed(FailureReport),
    /// The answer is wrong in a way that no entry may produce.
    Faulty(AnswerFault),
}

/// Checks an answer against the one that the stand-ins compute for the request.
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
    expected: Vec<u8>,
    digest: AnswerDigest,
    token_count: u64,
}

impl AnswerCheck {
    /// Creates a check against a known answer.
    pub fn new(expected: Vec<u8>) -> Self {
        Self {
            expected,
            digest: AnswerDigest::new(),
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

    /// Checks a unary answer; `length` and `digest` are the values of its headers.
    pub fn verify_unary(
        &self,
        body: &[u8],
        length: Option<u64>,
        digest: Option<&str>,
    ) -> AnswerState {
        let actual = AnswerDigest::of(body);
        let has_valid_framing =
            length == Some(actual.length()) && digest == Some(actual.hex().as_str());
        if !has_valid_framing {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        self.classify(body == self.expected, body.len(), || {
            self.expected.starts_with(body)
        })
    }

    /// Checks the next event of a streamed answer.
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
        let start = usize::try_from(self.digest.length()).unwrap_or(usize::MAX);
        let rest = self.expected.get(start..).unwrap_or_default();
        if !rest.starts_with(text.as_bytes()) {
            return AnswerState::Faulty(AnswerFault::Misdelivered);
        }
        self.digest.update(text.as_bytes());
        AnswerState::Incomplete
    }

    fn verify_end(&self, tokens: u64, length: u64, digest: &str) -> AnswerState {
        let has_valid_framing = tokens == self.token_count
            && length == self.digest.length()
            && digest == self.digest.hex();
        if !has_valid_framing {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        let received_bytes = usize::try_from(length).unwrap_or(usize::MAX);
        self.classify(
            received_bytes == self.expected.len(),
            received_bytes,
            || true,
        )
    }

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
