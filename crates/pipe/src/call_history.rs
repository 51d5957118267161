use {
    crate::CallFailure,
    base::{AttemptNumber, FailureReason, FailureReport, RunClaim, Unsent},
    std::collections::BTreeSet,
};

/// The calls of a request and how they ended: the only source of the verdict whether it ran.
#[derive(Debug)]
pub struct CallHistory {
    claim: RunClaim<Unsent>,
    /// Calls that have not ended.
    open_attempts: BTreeSet<AttemptNumber>,
    /// True once a call ended without proof whether the target ran it.
    is_unknown: bool,
    /// True once a target has run a call.
    has_run: bool,
}

impl CallHistory {
    /// Creates the history of a request for which no call was made.
    pub fn new(claim: RunClaim<Unsent>) -> Self {
        Self {
            claim,
            open_attempts: BTreeSet::new(),
            is_unknown: false,
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

    /// Records that a call failed.
    pub fn record_failure(&mut self, attempt: AttemptNumber, failure: CallFailure) {
        self.open_attempts.remove(&attempt);
        match failure {
            CallFailure::Errored => self.has_run = true,
            failure if failure.is_not_run() => {}
            _ => self.is_unknown = true,
        }
    }

    /// Returns the report of a request that failed, with the verdict that the calls prove.
    pub fn into_report(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        if self.is_unknown || !self.open_attempts.is_empty() {
            self.claim.into_sent().report_lost(reason, detail)
        } else if self.has_run {
            self.claim.into_sent().report_failed(reason, detail)
        } else {
            self.claim.refuse(reason, detail)
        }
    }
}
