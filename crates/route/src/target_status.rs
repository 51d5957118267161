use {
    base::TargetId,
    std::time::{Duration, Instant},
};

/// Whether a target gets calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetStanding {
    /// It gets its share.
    Usable,
    /// It gets a growing part of its share since this time.
    Returning(Instant),
    /// It gets nothing until this time.
    Ejected(Instant),
}

/// A target whose standing has changed, for the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StandingChange {
    /// Name of the target.
    pub target: TargetId,
    /// Its standing from now on.
    pub standing: TargetStanding,
}

/// What a pool knows of a target, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// Name of the target.
    pub target: TargetId,
    /// Calls of this entry that it runs.
    pub in_flight: u32,
    /// Measured time that it takes for a call once the call has a place.
    pub service: Duration,
    /// Share of its recent calls that failed.
    pub failure_rate: f64,
    /// Whether it gets calls.
    pub standing: TargetStanding,
    /// True if it is to receive no new work.
    pub leaving: bool,
}
