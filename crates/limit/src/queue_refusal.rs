use {
    base::FailureReason,
    std::{fmt, time::Duration},
};

/// A request that was not let in; it was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueRefusal<T> {
    /// Why it was not let in.
    pub reason: FailureReason,
    /// When coming back is worth it.
    pub retry_after: Duration,
    /// What was to be queued.
    pub item: T,
}

impl<T> fmt::Display for QueueRefusal<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}, come back in {:?}",
            self.reason, self.retry_after
        )
    }
}

impl<T: fmt::Debug> std::error::Error for QueueRefusal<T> {}
