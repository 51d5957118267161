use {
    base::TargetId,
    std::time::{Duration, Instant},
};

/// Whether a target gets calls, and how many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStanding {
    /// The target gets its full share.
    Usable,
    /// The target is in slow start since this time: its share grows to full.
    SlowStart(Instant),
    /// The target gets no calls until this time.
    Ejected(Instant),
}

/// Change of a target's standing, reported in the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StandingChange {
    /// Name of the target.
    pub target: TargetId,
    /// The new standing.
    pub standing: TargetStanding,
}

/// Status of a target in a pool, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// Name of the target.
    pub target: TargetId,
    /// Calls of this entry that the target runs or queues.
    pub in_flight: u32,
    /// Measured service time of a call, without queueing.
    pub service_time: Duration,
    /// Share of its recent calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the target gets calls.
    pub standing: TargetStanding,
    /// True if the target must not get new work.
    pub leaving: bool,
}
