use {
    crate::{AnswerFault, PipelineLoad, PlannedRequest},
    base::{AnswerDigest, FailureReport, StreamEvent},
    stand::{EchoRule, EchoStage},
};

/// Result of reading an answer to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerState {
    /// The answer goes on.
    Open,
    /// The right answer is whole.
    Whole,
    /// The entry said that the answer will not become whole.
    Failed(FailureReport),
    /// The answer is one that must never come.
    Faulty(AnswerFault),
}

/// Checks an answer against the one that the stand-ins must have given.
///
/// ```
/// use load::{AnswerCheck, AnswerState};
///
/// let check = AnswerCheck::new(b"whole answer".to_vec());
/// let digest = base::AnswerDigest::of(b"whole answer");
/// assert_eq!(check.unary(b"whole answer", Some(12), Some(&digest.hex())), AnswerState::Whole);
/// ```
#[derive(Debug, Clone)]
pub struct AnswerCheck {
    expected: Vec<u8>,
    digest: AnswerDigest,
    tokens: u64,
}

impl AnswerCheck {
    /// Check against a known answer.
    pub fn new(expected: Vec<u8>) -> Self {
        Self {
            expected,
            digest: AnswerDigest::new(),
            tokens: 0,
        }
    }

    /// Check against what the pipeline's stages make of the request.
    pub fn of_request(pipeline: &PipelineLoad, planned: &PlannedRequest) -> Self {
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

    /// Judges a unary answer; length and digest are those that its headers state.
    pub fn unary(&self, body: &[u8], length: Option<u64>, digest: Option<&str>) -> AnswerState {
        let actual = AnswerDigest::of(body);
        let framed = length == Some(actual.length()) && digest == Some(actual.hex().as_str());
        if !framed {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        self.judge(body == self.expected, body.len(), || {
            self.expected.starts_with(body)
        })
    }

    /// Takes in the next event of a streamed answer.
    pub fn event(&mut self, event: StreamEvent) -> AnswerState {
        match event {
            StreamEvent::Begin { .. } => AnswerState::Open,
            StreamEvent::Token { index, text } => self.token(index, &text),
            StreamEvent::End {
                tokens,
                length,
                digest,
            } => self.end(tokens, length, &digest),
            StreamEvent::Failed { report } => AnswerState::Failed(report),
        }
    }

    /// Tokens taken in so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    fn token(&mut self, index: u64, text: &str) -> AnswerState {
        if index != self.tokens {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        self.tokens += 1;
        let start = usize::try_from(self.digest.length()).unwrap_or(usize::MAX);
        let rest = self.expected.get(start..).unwrap_or_default();
        if !rest.starts_with(text.as_bytes()) {
            return AnswerState::Faulty(AnswerFault::Misdelivered);
        }
        self.digest.update(text.as_bytes());
        AnswerState::Open
    }

    fn end(&self, tokens: u64, length: u64, digest: &str) -> AnswerState {
        let framed =
            tokens == self.tokens && length == self.digest.length() && digest == self.digest.hex();
        if !framed {
            return AnswerState::Faulty(AnswerFault::Broken);
        }
        let taken = usize::try_from(length).unwrap_or(usize::MAX);
        self.judge(taken == self.expected.len(), taken, || true)
    }

    fn judge(&self, same: bool, taken: usize, begins: impl FnOnce() -> bool) -> AnswerState {
        if same {
            AnswerState::Whole
        } else if taken < self.expected.len() && begins() {
            AnswerState::Faulty(AnswerFault::Cut)
        } else {
            AnswerState::Faulty(AnswerFault::Misdelivered)
        }
    }
}
