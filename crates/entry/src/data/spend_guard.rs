use {
    crate::data::{
        EntryCore,
        failure_answer::{recorded_failure, with_delay},
        join_desk::JoinKey,
    },
    base::{FailureReason, FailureReport, RunClaim, RunVerdict},
    once::RecordedAnswer,
    std::rc::Rc,
};

/// A ticket spent for a request that no target has seen: dropping it gives the ticket back.
pub struct HeldSpend {
    core: Rc<EntryCore>,
    nonce: u64,
    key: JoinKey,
    armed: bool,
}

impl HeldSpend {
    /// Guard of a ticket that was just spent.
    pub fn new(core: Rc<EntryCore>, nonce: u64, key: JoinKey) -> Self {
        Self {
            core,
            nonce,
            key,
            armed: true,
        }
    }

    /// Gives the ticket back, and the refusal to all repeats that wait.
    pub fn release(mut self, report: &FailureReport) {
        self.give_back(report);
    }

    /// Notes that the request is about to run: from now on the ticket stays spent.
    pub fn into_running(mut self) -> RunningSpend {
        self.armed = false;
        let core = Rc::clone(&self.core);
        RunningSpend {
            core,
            nonce: self.nonce,
            key: self.key.clone(),
            armed: true,
        }
    }

    fn give_back(&mut self, report: &FailureReport) {
        self.armed = false;
        self.core
            .ticket_registry
            .borrow_mut()
            .revoke_spend(self.nonce);
        self.core.joins.settle(
            &self.key,
            &Rc::new(recorded_failure(&with_delay(report.clone()))),
        );
    }
}

impl Drop for HeldSpend {
    fn drop(&mut self) {
        if self.armed {
            let report = RunClaim::new().refuse(FailureReason::Overloaded, "request was dropped");
            self.give_back(&report);
        }
    }
}

/// A ticket spent for a request that runs: dropping it records that it may have run.
pub struct RunningSpend {
    core: Rc<EntryCore>,
    nonce: u64,
    key: JoinKey,
    armed: bool,
}

impl RunningSpend {
    /// Records the final answer; a request that was not run gives its ticket back.
    pub fn finish(mut self, answer: RecordedAnswer, verdict: Option<RunVerdict>) {
        self.settle(answer, verdict);
    }

    fn settle(&mut self, answer: RecordedAnswer, verdict: Option<RunVerdict>) {
        self.armed = false;
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
        self.core.joins.settle(&self.key, &Rc::new(answer));
    }
}

impl Drop for RunningSpend {
    fn drop(&mut self) {
        if self.armed {
            let claim = RunClaim::new().into_sent();
            let report = claim.report_lost(FailureReason::TargetLost, "the run was given up");
            self.settle(recorded_failure(&report), Some(report.verdict));
        }
    }
}
