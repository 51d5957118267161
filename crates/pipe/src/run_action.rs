use {
    base::{AttemptNumber, FailureReport, StageIndex},
    bytes::Bytes,
};

/// A call to a target that is to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct CallSpec {
    /// Position of the stage in the pipeline.
    pub stage: StageIndex,
    /// Number of the call within its run.
    pub attempt: AttemptNumber,
    /// Input of the stage.
    pub input: Bytes,
    /// Number of tokens that the engine must skip, because earlier calls of the stage delivered
    /// them; 0 for a plain service.
    pub resume_at: u64,
    /// True if the call needs a new connection. This is so for a call that must not be repeated: if
    /// a pooled connection is lost, it is unknown whether the target got the call.
    pub needs_fresh_connection: bool,
}

/// The answer of a run that has finished.
#[derive(Debug, Clone, PartialEq)]
pub enum RunAnswer {
    /// Answer of a plain service.
    Body(Bytes),
    /// Summary of a token stream whose tokens have all been emitted.
    Tokens {
        /// Number of tokens.
        tokens: u64,
        /// Length of all token texts in bytes.
        length: u64,
        /// Digest of all token texts in hexadecimal.
        digest: String,
    },
}

/// What the driver of a run has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum RunAction {
    /// Make a call.
    Call(CallSpec),
    /// Cancel a call that is still running.
    Cancel {
        /// Number of the call.
        attempt: AttemptNumber,
    },
    /// Send the next token to the caller.
    Emit {
        /// Position of the token in the whole answer.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// End the request with its answer.
    Finish(RunAnswer),
    /// End the request as failed.
    Fail(FailureReport),
}
