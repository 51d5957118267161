use std::time::Instant;

/// The two clocks of a host at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderTime {
    /// Clock that never goes back, for waits and leases.
    pub now: Instant,
    /// Wall clock in microseconds since the Unix epoch, for fencing numbers.
    pub wall_us: u64,
}
