use {
    crate::CallFailure,
    base::{AttemptNumber, FailureReason},
    bytes::Bytes,
};

/// Event that the driver of a run reports to the [`RunState`](crate::RunState).
#[derive(Debug, Clone, PartialEq)]
pub enum RunEvent {
    /// The request was admitted.
    Start,
    /// The request was not admitted.
    NotAdmitted {
        /// Reason given to the caller.
        reason: FailureReason,
    },
    /// A plain service has sent its whole answer.
    Answered {
        /// Call that was answered.
        attempt: AttemptNumber,
        /// The whole answer.
        body: Bytes,
    },
    /// An engine has sent a token.
    Token {
        /// Call that the token belongs to.
        attempt: AttemptNumber,
        /// Position of the token in the whole answer.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// An engine has ended its stream without a failure.
    Ended {
        /// Call that the stream belongs to.
        attempt: AttemptNumber,
        /// Number of tokens of the whole answer, those of earlier calls included.
        tokens: u64,
        /// Digest of all token texts of the whole answer in hexadecimal.
        digest: String,
    },
    /// A call ended without its answer.
    Failed {
        /// Call that failed.
        attempt: AttemptNumber,
        /// Reason of the failure.
        failure: CallFailure,
    },
    /// A call has taken so long that a second, hedged call is worth its cost.
    HedgeDue {
        /// Call that is slow.
        attempt: AttemptNumber,
    },
    /// Time has passed; the run checks its deadline.
    Tick,
    /// The caller has closed its connection.
    CallerGone,
    /// The caller has stopped reading its answer.
    CallerStalled,
    /// The entry stops before the run has ended.
    Stopped,
}
