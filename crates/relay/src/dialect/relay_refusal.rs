use {
    base::{FailureReason, RunVerdict},
    std::time::Duration,
};

/// The final answer of the entry to a request that it refuses or that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayRefusal {
    /// Whether a target may have run the request.
    pub verdict: RunVerdict,
    /// Why the request failed.
    pub reason: FailureReason,
    /// Further explanation for people; programs do not parse it.
    pub detail: String,
    /// Time after which the caller should retry, if retrying may help.
    pub retry_after: Option<Duration>,
}

impl RelayRefusal {
    /// Creates the refusal of a request that was sent to no target.
    pub fn not_run(reason: FailureReason, detail: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which the caller should retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
