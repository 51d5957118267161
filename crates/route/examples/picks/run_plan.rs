use std::time::Duration;

/// What a run consists of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunPlan {
    pub targets: usize,
    pub entries: usize,
    /// Arrivals as a part of what the targets without faults can do.
    pub load: f64,
    pub retries: usize,
    pub report_lag: Duration,
    pub straggler: bool,
    pub failing: bool,
    /// Targets stop for half a second now and then.
    pub pauses: bool,
    /// Calls that take long are sent a second time.
    pub hedge: bool,
}

/// What a run came to.
#[derive(Debug, Clone, Copy)]
pub struct RunFigures {
    pub attainment: f64,
    pub failed: f64,
    pub hedged: f64,
    pub p50: Duration,
    pub p99: Duration,
}
