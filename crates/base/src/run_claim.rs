use {
    crate::{FailureReason, FailureReport, RunVerdict},
    std::marker::PhantomData,
};

/// Type state of a [`RunClaim`] before the first byte was sent to a target.
#[derive(Debug)]
pub struct Unsent;

/// Type state of a [`RunClaim`] once a target may have received part of the request.
#[derive(Debug)]
pub struct Sent;

/// Tracks in its type whether a request may have run, and creates its failure report. Only an
/// unsent claim can report [`RunVerdict::NotRun`], and a sent claim never becomes unsent again.
///
/// ```
/// use base::{FailureReason, RunClaim, RunVerdict};
///
/// let claim = RunClaim::new();
/// let report = claim.refuse(FailureReason::Overloaded, "queue is full");
/// assert_eq!(report.verdict, RunVerdict::NotRun);
///
/// let sent = RunClaim::new().into_sent();
/// let report = sent.report_lost(FailureReason::TargetLost, "connection closed");
/// assert_eq!(report.verdict, RunVerdict::MayHaveRun);
/// ```
#[derive(Debug)]
pub struct RunClaim<State> {
    state: PhantomData<State>,
}

impl RunClaim<Unsent> {
    /// Creates the claim of a request that was not yet sent to any target.
    pub fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Returns the report of a request that was refused and did not run.
    pub fn refuse(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        FailureReport::new(RunVerdict::NotRun, reason, detail)
    }

    /// Records that a target may receive the request from now on.
    pub fn into_sent(self) -> RunClaim<Sent> {
        RunClaim { state: PhantomData }
    }
}

impl Default for RunClaim<Unsent> {
    fn default() -> Self {
        Self::new()
    }
}

impl RunClaim<Sent> {
    /// Returns the report of a request that was lost and that a target may have run.
    pub fn report_lost(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        FailureReport::new(RunVerdict::MayHaveRun, reason, detail)
    }

    /// Returns the report of a request that failed after a target ran part of it.
    pub fn report_failed(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        FailureReport::new(RunVerdict::RanAndFailed, reason, detail)
    }
}
