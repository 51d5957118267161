use {crate::HybridTime, std::fmt};

/// Error of a clock that refused a peer's time because it is too far ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockAheadError {
    /// Time that the peer sent.
    pub peer_time: HybridTime,
    /// Latest physical part that the clock accepts, in microseconds since the Unix epoch.
    pub limit_us: u64,
}

impl fmt::Display for ClockAheadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "peer time {} is ahead of the limit of {} us",
            self.peer_time, self.limit_us
        )
    }
}

impl std::error::Error for ClockAheadError {}
