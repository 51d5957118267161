use {base::FailureReason, std::fmt};

/// Proof that a target ran no part of a call. Only the three functions below create it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRunProof {
    _private: (),
}

impl NotRunProof {
    /// Returns the proof for a call that was not made, so that nothing was sent.
    ///
    /// ```
    /// use pipe::{CallFailure, NotRunProof};
    ///
    /// assert!(CallFailure::NoTarget(NotRunProof::not_called()).is_not_run());
    /// assert!(!CallFailure::Lost.is_not_run());
    /// ```
    pub fn not_called() -> Self {
        Self { _private: () }
    }

    /// Returns the proof for a call whose new connection was not established, so that no byte was
    /// sent.
    pub fn dial_failed() -> Self {
        Self { _private: () }
    }

    /// Returns the proof for a call whose target answered that it ran nothing of the call.
    pub fn target_refused() -> Self {
        Self { _private: () }
    }
}

/// Reason why a call ended without its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No target of the pool is available.
    NoTarget(NotRunProof),
    /// The entry did not admit the call, for this reason.
    NotAdmitted(NotRunProof, FailureReason),
    /// The target could not be reached.
    NotSent(NotRunProof),
    /// The target refused the call and ran nothing.
    Refused(NotRunProof),
    /// The target answered with an error.
    Errored,
    /// The connection was lost during the call.
    Lost,
    /// The answer was incomplete or belonged to another call.
    Broken,
    /// The call timed out.
    TimedOut,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTarget(_) => formatter.write_str("no target of the pool is available"),
            Self::NotAdmitted(_, reason) => write!(formatter, "call was not admitted: {reason}"),
            Self::NotSent(_) => formatter.write_str("target could not be reached"),
            Self::Refused(_) => {
                formatter.write_str("target refused the call and ran nothing of it")
            }
            Self::Errored => formatter.write_str("target answered with an error"),
            Self::Lost => formatter.write_str("connection was lost"),
            Self::Broken => {
                formatter.write_str("answer was incomplete or belonged to another call")
            }
            Self::TimedOut => formatter.write_str("call timed out"),
        }
    }
}

impl CallFailure {
    /// True if it is proven that the target ran no part of the call.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::NoTarget(_) | Self::NotAdmitted(..) | Self::NotSent(_) | Self::Refused(_) => true,
            Self::Errored | Self::Lost | Self::Broken | Self::TimedOut => false,
        }
    }

    /// True if the call must not be retried: there is no target for it, or it was not admitted.
    pub fn is_final(self) -> bool {
        matches!(self, Self::NoTarget(_) | Self::NotAdmitted(..))
    }

    /// Returns the reason that the caller gets if the request fails because of this failure.
    pub fn reason(self) -> FailureReason {
        match self {
            Self::NoTarget(_) => FailureReason::NoTarget,
            Self::NotAdmitted(_, reason) => reason,
            Self::NotSent(_) | Self::Lost => FailureReason::TargetLost,
            Self::Refused(_) | Self::Errored => FailureReason::TargetFailed,
            Self::Broken => FailureReason::AnswerBroken,
            Self::TimedOut => FailureReason::DeadlinePassed,
        }
    }
}
