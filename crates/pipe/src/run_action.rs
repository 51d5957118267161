use {
    base::{AttemptNumber, FailureReport, StageIndex},
    bytes::Bytes,
};

/// A call that is to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct CallSpec {
    /// Position of the stage.
    pub stage: StageIndex,
    /// Number of the call.
    pub attempt: AttemptNumber,
    /// Input of the stage.
    pub input: Bytes,
    /// Tokens that the engine is to skip.
    pub resume_at: u64,
    /// True if the connection must be fresh, because the call may not be repeated.
    pub needs_fresh_connection: bool,
}

/// The whole answer of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum RunAnswer {
    /// Answer of a plain service.
    Body(Bytes),
    /// All tokens were emitted.
    Tokens {
        /// Number of tokens.
        tokens: u64,
        /// Bytes of all token texts.
        length: u64,
        /// Digest of all token texts, hexadecimal.
        digest: String,
    },
}

/// What a run wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum RunAction {
    /// Make a call.
    Call(CallSpec),
    /// Give up a call that still runs.
    Cancel {
        /// Number of the call.
        attempt: AttemptNumber,
    },
    /// Give the next token to the caller.
    Emit {
        /// Position of the token.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The request has finished whole.
    Finish(RunAnswer),
    /// The request has failed.
    Fail(FailureReport),
}
