use base::{FailureReport, RunVerdict};

/// Outcome of sending a request once, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The complete answer; its length and digest match.
    Complete(Vec<u8>),
    /// A failure report with its verdict.
    Failed(FailureReport),
    /// Neither a complete answer nor a verdict, for instance because the connection was lost; the
    /// text says why.
    Broken(String),
}

impl RunOutcome {
    /// Returns the complete answer; `None` for any other outcome.
    ///
    /// ```
    /// let outcome = proofs::RunOutcome::Complete(b"hay".to_vec());
    /// assert_eq!(outcome.complete_answer(), Some(b"hay".as_slice()));
    /// assert!(!outcome.is_not_run());
    /// ```
    pub fn complete_answer(&self) -> Option<&[u8]> {
        match self {
            Self::Complete(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns the failure report; `None` for any other outcome.
    pub fn failure(&self) -> Option<&FailureReport> {
        match self {
            Self::Failed(report) => Some(report),
            _ => None,
        }
    }

    /// Returns true if the report says that the request was not run for this send.
    pub fn is_not_run(&self) -> bool {
        self.failure()
            .is_some_and(|report| report.verdict == RunVerdict::NotRun)
    }
}
