use base::FailureReason;

/// Proof that a target ran no part of a call. It can be had in three ways only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnsentProof {
    _private: (),
}

impl UnsentProof {
    /// No target was chosen, so nothing was sent.
    ///
    /// ```
    /// use pipe::{CallFailure, UnsentProof};
    ///
    /// assert!(CallFailure::NoTarget(UnsentProof::no_target()).is_unsent());
    /// assert!(!CallFailure::Lost.is_unsent());
    /// ```
    pub fn no_target() -> Self {
        Self { _private: () }
    }

    /// The dial of a fresh connection failed, so no byte left.
    pub fn failed_dial() -> Self {
        Self { _private: () }
    }

    /// The target itself says that it ran nothing.
    pub fn target_refused() -> Self {
        Self { _private: () }
    }
}

/// How a call ended without its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No target of the pool can be used.
    NoTarget(UnsentProof),
    /// The target could not be reached.
    NotSent(UnsentProof),
    /// The target refused the call and ran nothing.
    Refused(UnsentProof),
    /// The target answered with an error.
    Errored,
    /// The connection was lost under the call.
    Lost,
    /// The answer was not whole, or not the answer to this call.
    Broken,
    /// The call took longer than it may.
    TimedOut,
}

impl CallFailure {
    /// True if it is proved that the target ran nothing.
    pub fn is_unsent(self) -> bool {
        matches!(
            self,
            Self::NoTarget(_) | Self::NotSent(_) | Self::Refused(_)
        )
    }

    /// Reason that the caller is given if the request fails by this.
    pub fn reason(self) -> FailureReason {
        match self {
            Self::NoTarget(_) => FailureReason::NoTarget,
            Self::NotSent(_) | Self::Lost => FailureReason::TargetLost,
            Self::Refused(_) | Self::Errored => FailureReason::TargetFailed,
            Self::Broken => FailureReason::AnswerBroken,
            Self::TimedOut => FailureReason::DeadlinePassed,
        }
    }
}
