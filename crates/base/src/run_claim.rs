use {
    crate::{FailureReason, FailureReport, RunVerdict},
    std::marker::PhantomData,
};

/// State of a claim before the first byte left for a target.
#[derive(Debug)]
pub struct Unsent;

/// State of a claim once a target may have seen the request.
#[derive(Debug)]
pub struct Sent;

/// What may be said of a request that fails: only an unsent claim can be refused as not run,
/// and a claim that was sent can never become unsent again.
///
/// ```
/// use base::{FailureReason, RunClaim, RunVerdict};
///
/// let claim = RunClaim::new();
/// let report = claim.refuse(FailureReason::Overloaded, "queue is full");
/// assert_eq!(report.verdict, RunVerdict::NotRun);
///
/// let sent = RunClaim::new().into_sent();
/// let report = sent.lost(FailureReason::TargetLost, "connection closed");
/// assert_eq!(report.verdict, RunVerdict::MayHaveRun);
/// ```
#[derive(Debug)]
pub struct RunClaim<State> {
    state: PhantomData<State>,
}

impl RunClaim<Unsent> {
    /// Opens the claim of a request that no target has seen.
    pub fn new() -> Self {
        Self { state: PhantomData }
    }

    /// Ends the request as not run.
    pub fn refuse(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        FailureReport::new(RunVerdict::NotRun, reason, detail)
    }

    /// Records that a target may see the request from now on.
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
    /// Ends the request where it is unknown whether a target ran it.
    pub fn lost(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        FailureReport::new(RunVerdict::MayHaveRun, reason, detail)
    }

    /// Ends the request where a target is known to have run a part of it.
    pub fn failed(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        FailureReport::new(RunVerdict::RanAndFailed, reason, detail)
    }
}
