use {base::FailureReason, std::fmt};

/// Proof that a target ran no part of a call. It can be had in three ways only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRunProof {
    _private: (),
}

impl NotRunProof {
    /// No target was called, so nothing was sent.
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

    /// The dial of a fresh connection failed, so no byte left.
    pub fn dial_failed() -> Self {
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
    NoTarget(NotRunProof),
    /// The call got no place, or may not run; the reason says why.
    NotAdmitted(NotRunProof, FailureReason),
    /// The target could not be reached.
    NotSent(NotRunProof),
    /// The target refused the call and ran nothing.
    Refused(NotRunProof),
    /// The target answered with an error.
    Errored,
    /// The connection was lost under the call.
    Lost,
    /// The answer was not whole, or not the answer to this call.
    Broken,
    /// The call took longer than it may.
    TimedOut,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTarget(_) => formatter.write_str("no target can be used"),
            Self::NotAdmitted(_, reason) => write!(formatter, "not sent: {reason}"),
            Self::NotSent(_) => formatter.write_str("target could not be reached"),
            Self::Refused(_) => formatter.write_str("target refused it and ran nothing"),
            Self::Errored => formatter.write_str("target answered with an error"),
            Self::Lost => formatter.write_str("connection was lost"),
            Self::Broken => formatter.write_str("answer was not whole, or not to this call"),
            Self::TimedOut => formatter.write_str("call took too long"),
        }
    }
}

impl CallFailure {
    /// True if it is proved that the target ran nothing.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::NoTarget(_) | Self::NotAdmitted(..) | Self::NotSent(_) | Self::Refused(_) => true,
            Self::Errored | Self::Lost | Self::Broken | Self::TimedOut => false,
        }
    }

    /// True if trying another target is of no use.
    pub fn is_final(self) -> bool {
        matches!(self, Self::NoTarget(_) | Self::NotAdmitted(..))
    }

    /// Reason that the caller is given if the request fails by this.
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
