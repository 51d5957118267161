use {
    base::FailureReason,
    std::{fmt, time::Duration},
};

/// Refusal of a call that was not queued and not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueRefusal<T> {
    /// Why the call was refused.
    pub reason: FailureReason,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
    /// The item of the refused call, returned to the caller.
    pub item: T,
}

impl<T> fmt::Display for QueueRefusal<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}; retry after {:?}",
            self.reason, self.retry_after
        )
    }
}

impl<T: fmt::Debug> std::error::Error for QueueRefusal<T> {}
