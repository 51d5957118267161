use base::{FailureReport, RunVerdict};

/// What a caller got for one send of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole answer; its length and digest were right.
    Whole(Vec<u8>),
    /// A failure with its verdict.
    Failed(FailureReport),
    /// No whole answer and no verdict, for instance a lost connection.
    Broken(String),
}

impl RunOutcome {
    /// The whole answer.
    ///
    /// ```
    /// let outcome = proofs::RunOutcome::Whole(b"hay".to_vec());
    /// assert_eq!(outcome.whole(), Some(b"hay".as_slice()));
    /// assert!(!outcome.is_not_run());
    /// ```
    pub fn whole(&self) -> Option<&[u8]> {
        match self {
            Self::Whole(answer) => Some(answer),
            _ => None,
        }
    }

    /// The failure.
    pub fn failure(&self) -> Option<&FailureReport> {
        match self {
            Self::Failed(report) => Some(report),
            _ => None,
        }
    }

    /// True if the answer says that this send was not run.
    pub fn is_not_run(&self) -> bool {
        self.failure()
            .is_some_and(|report| report.verdict == RunVerdict::NotRun)
    }
}
