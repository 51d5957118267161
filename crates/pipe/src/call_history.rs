use {
    crate::CallFailure,
    base::{AttemptNumber, FailureReason, FailureReport, RunClaim, Unsent},
    std::collections::BTreeSet,
};

/// Calls of a request and how they ended. The verdict on whether the request ran is derived only
/// from this history.
#[derive(Debug)]
pub struct CallHistory {
    /// Creates the failure report.
    claim: RunClaim<Unsent>,
    /// Calls that have not ended.
    open_attempts: BTreeSet<AttemptNumber>,
    /// True once a call ended without proof of whether the target ran it.
    may_have_run: bool,
    /// True once a target has run a call.
    has_run: bool,
}

impl CallHistory {
    /// Creates the history of a request for which no call was made.
    pub fn new(claim: RunClaim<Unsent>) -> Self {
        Self {
            claim,
            open_attempts: BTreeSet::new(),
            may_have_run: false,
            has_run: false,
        }
    }

    /// Records that a call is about to be made.
    pub fn record_call(&mut self, attempt: AttemptNumber) {
        self.open_attempts.insert(attempt);
    }

    /// Records that a target has answered a call.
    pub fn record_answer(&mut self, attempt: AttemptNumber) {
        self.open_attempts.remove(&attempt);
        self.has_run = true;
    }

    /// Records that a call ended without its answer.
    pub fn record_failure(&mut self, attempt: AttemptNumber, failure: CallFailure) {
        self.open_attempts.remove(&attempt);
        match failure {
            CallFailure::Errored => self.has_run = true,
            failure if failure.is_not_run() => {}
            _ => self.may_have_run = true,
        }
    }

    /// Returns the report of a failed request, with the verdict that follows from its calls. A call
    /// that has not ended counts as one that a target may have run.
    pub fn into_report(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        if self.may_have_run || !self.open_attempts.is_empty() {
            self.claim.into_sent().report_lost(reason, detail)
        } else if self.has_run {
            self.claim.into_sent().report_failed(reason, detail)
        } else {
            self.claim.refuse(reason, detail)
        }
    }
}
