use {
    base::{FailureReason, RunVerdict},
    std::time::Duration,
};

/// Final answer to a request that failed here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayRefusal {
    /// Whether a target may have run it.
    pub verdict: RunVerdict,
    /// Why it failed.
    pub reason: FailureReason,
    /// Further words for a person.
    pub detail: String,
    /// When coming back is worth it.
    pub retry_after: Option<Duration>,
}

impl RelayRefusal {
    /// Refusal of a request that no target has seen.
    pub fn not_run(reason: FailureReason, detail: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Says when coming back is worth it.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
