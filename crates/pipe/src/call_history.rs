use {
    crate::CallFailure,
    base::{AttemptNumber, FailureReason, FailureReport, RunClaim, Unsent},
    std::collections::BTreeSet,
};

/// What targets may have seen of a request; the only source of a run's verdict.
#[derive(Debug)]
pub struct CallHistory {
    claim: RunClaim<Unsent>,
    open: BTreeSet<AttemptNumber>,
    unknown: bool,
    ran: bool,
}

impl CallHistory {
    /// Log of a request that no target has seen.
    pub fn new(claim: RunClaim<Unsent>) -> Self {
        Self {
            claim,
            open: BTreeSet::new(),
            unknown: false,
            ran: false,
        }
    }

    /// Notes that a call is about to leave.
    pub fn begin(&mut self, attempt: AttemptNumber) {
        self.open.insert(attempt);
    }

    /// Notes that a target has answered a call.
    pub fn answered(&mut self, attempt: AttemptNumber) {
        self.open.remove(&attempt);
        self.ran = true;
    }

    /// Notes how a call failed.
    pub fn failed(&mut self, attempt: AttemptNumber, failure: CallFailure) {
        self.open.remove(&attempt);
        match failure {
            CallFailure::Errored => self.ran = true,
            failure if failure.is_not_run() => {}
            _ => self.unknown = true,
        }
    }

    /// Ends the request with the verdict that the calls prove.
    pub fn report(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        if self.unknown || !self.open.is_empty() {
            self.claim.into_sent().report_lost(reason, detail)
        } else if self.ran {
            self.claim.into_sent().report_failed(reason, detail)
        } else {
            self.claim.refuse(reason, detail)
        }
    }
}
