use std::time::Duration;

/// Parameters of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunPlan {
    pub targets: usize,
    pub entries: usize,
    /// Arrival rate as a share of the capacity of the targets without faults.
    pub load: f64,
    /// Retries allowed after a failed call.
    pub retries: usize,
    /// Age of the load that targets report.
    pub report_lag: Duration,
    /// One target becomes slow.
    pub straggler: bool,
    /// One target starts to answer every call with an error.
    pub failing: bool,
    /// Random targets pause for half a second.
    pub pauses: bool,
    /// Calls that take long are hedged.
    pub hedge: bool,
}

/// Results of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunFigures {
    /// Share of the calls that were answered by their deadline.
    pub attainment: f64,
    /// Failed calls per request.
    pub failed: f64,
    /// Hedges per request.
    pub hedged: f64,
    pub p50: Duration,
    pub p99: Duration,
}
