use {crate::HybridTime, std::fmt};

/// A peer's time that a clock would not follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockRefusal {
    /// Time that the peer claimed.
    pub peer: HybridTime,
    /// Latest physical part that would have been followed, in microseconds since the Unix epoch.
    pub limit_us: u64,
}

impl fmt::Display for ClockRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "peer time {} is beyond {}",
            self.peer, self.limit_us
        )
    }
}

impl std::error::Error for ClockRefusal {}
