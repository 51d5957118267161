use {
    crate::data::{
        EntryCore,
        failure_answer::{recorded_failure, with_retry_delay},
        join_registry::JoinKey,
    },
    base::{FailureReason, FailureReport, RunClaim, RunVerdict},
    once::RecordedAnswer,
    std::rc::Rc,
};

/// Guard of the spent ticket of a request that was not sent to any target yet; dropping it makes
/// the ticket valid again.
pub struct UnsentTicketGuard {
    core: Rc<EntryCore>,
    nonce: u64,
    key: JoinKey,
    is_armed: bool,
}

impl UnsentTicketGuard {
    /// Creates the guard of a ticket that was just spent.
    pub fn new(core: Rc<EntryCore>, nonce: u64, key: JoinKey) -> Self {
        Self {
            core,
            nonce,
            key,
            is_armed: true,
        }
    }

    /// Makes the ticket valid again and sends the refusal to all repeated sends that wait.
    pub fn restore(mut self, report: &FailureReport) {
        self.restore_ticket(report);
    }

    /// Converts the guard for a request that is about to run: from now on the ticket stays spent.
    pub fn into_running(mut self) -> RunningTicketGuard {
        self.is_armed = false;
        let core = Rc::clone(&self.core);
        RunningTicketGuard {
            core,
            nonce: self.nonce,
            key: self.key.clone(),
            is_armed: true,
        }
    }

    fn restore_ticket(&mut self, report: &FailureReport) {
        self.is_armed = false;
        self.core
            .ticket_registry
            .borrow_mut()
            .revoke_spend(self.nonce);
        self.core.join_registry.send_answer(
            &self.key,
            &Rc::new(recorded_failure(&with_retry_delay(report.clone()))),
        );
    }
}

impl Drop for UnsentTicketGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let report = RunClaim::new().refuse(
                FailureReason::Overloaded,
                "request was dropped before it ran",
            );
            self.restore_ticket(&report);
        }
    }
}

/// Guard of the spent ticket of a running request; dropping it records that the request
/// may have run.
pub struct RunningTicketGuard {
    core: Rc<EntryCore>,
    nonce: u64,
    key: JoinKey,
    is_armed: bool,
}

impl RunningTicketGuard {
    /// Records the final answer; the ticket of a request that did not run becomes valid again.
    pub fn record_answer(mut self, answer: RecordedAnswer, verdict: Option<RunVerdict>) {
        self.record(answer, verdict);
    }

    fn record(&mut self, answer: RecordedAnswer, verdict: Option<RunVerdict>) {
        self.is_armed = false;
        if verdict == Some(RunVerdict::NotRun) {
            self.core
                .ticket_registry
                .borrow_mut()
                .revoke_spend(self.nonce);
        } else {
            self.core
                .ticket_registry
                .borrow_mut()
                .record_answer(self.nonce, answer.clone());
        }
        self.core
            .join_registry
            .send_answer(&self.key, &Rc::new(answer));
    }
}

impl Drop for RunningTicketGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let claim = RunClaim::new().into_sent();
            let report = claim.report_lost(FailureReason::TargetLost, "the run was aborted");
            self.record(recorded_failure(&report), Some(report.verdict));
        }
    }
}
