use {
    crate::CallFailure,
    base::{AttemptNumber, FailureReason},
    bytes::Bytes,
};

/// What a run is told.
#[derive(Debug, Clone, PartialEq)]
pub enum RunEvent {
    /// The request may start.
    Start,
    /// The request may not start.
    NotAdmitted {
        /// Why it may not.
        reason: FailureReason,
    },
    /// A plain service has answered whole.
    Answered {
        /// Call that was answered.
        attempt: AttemptNumber,
        /// The whole answer.
        body: Bytes,
    },
    /// An engine has sent a token.
    Token {
        /// Call that was answered.
        attempt: AttemptNumber,
        /// Position of the token in the whole answer.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// An engine has ended its stream.
    Ended {
        /// Call that was answered.
        attempt: AttemptNumber,
        /// Tokens of the whole answer.
        tokens: u64,
        /// Digest of the whole answer, hexadecimal.
        digest: String,
    },
    /// A call ended without its answer.
    Failed {
        /// Call that failed.
        attempt: AttemptNumber,
        /// How it failed.
        failure: CallFailure,
    },
    /// A call has taken so long that a second one is worth its cost.
    HedgeDue {
        /// Call that is slow.
        attempt: AttemptNumber,
    },
    /// Time has passed.
    Tick,
    /// The caller has gone away.
    CallerGone,
    /// The caller does not read its answer.
    CallerStalled,
    /// The process ends before the run does.
    Stopped,
}
