use std::time::Instant;

/// Readings of a host's monotonic clock and wall clock, taken together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderTime {
    /// Monotonic clock, for waits and leases.
    pub now: Instant,
    /// Wall clock in microseconds since the Unix epoch, for fencing tokens.
    pub wall_us: u64,
}
