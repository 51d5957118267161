use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        hop::HopSlot,
        ledger::{OpenRequest, RequestPlace},
        run::{
            call_slot::CallSlot,
            crash_watch::CrashWatch,
            part_gate::{pass_part_gate, pass_stage_gate},
        },
        shared::RelayCore,
        stage::StageRun,
    },
    base::{FailureReason, RunVerdict},
    piece::PieceOutcome,
    retry::{AttemptTracker, RetryDecision, SendFault},
    route::ServicePick,
    slog::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after which a caller should retry after a failure that is likely to be short.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of times that the stages are run again because a target lost results.
const MAX_STAGE_RERUNS: u32 = 1;

/// A request that passed the filters, with its stages and its sends to targets.
pub struct RelayRun {
    pub core: Rc<RelayCore>,
    pub draft: RelayDraft,
    pub tracker: AttemptTracker,
    /// Run of the request's stages, which holds their results; `None` if the stages must be run.
    pub(super) stages: Option<StageRun>,
    /// Ids of the targets and names of the other entries' hosts to which the request was sent.
    pub(super) tried_targets: Vec<String>,
    /// Time of a loss that may be a fault of this entry's own links.
    pub(super) unproven_loss: Option<Instant>,
    /// The request's entry in the ledger.
    pub open: Rc<OpenRequest>,
}

impl RelayRun {
    /// Creates the run of a request that was not sent yet.
    pub fn new(core: &Rc<RelayCore>, draft: RelayDraft, open: Rc<OpenRequest>) -> Self {
        let rule = &draft.rule;
        let may_repeat = rule.repeat.may_repeat();
        Self {
            core: Rc::clone(core),
            tracker: AttemptTracker::new(may_repeat, rule.max_targets, draft.deadline),
            stages: None,
            tried_targets: Vec::new(),
            unproven_loss: None,
            open,
            draft,
        }
    }

    /// Runs the stages that are not done yet. If a result was lost, all stages are run again.
    pub async fn run_stages(&mut self) -> Result<(), RelayRefusal> {
        if !self.draft.has_stages() {
            return Ok(());
        }
        if self.stages.is_none() {
            let gate = pass_stage_gate(&self.core, &self.draft).await;
            gate.map_err(|refusal| self.with_verdict(refusal))?;
        }
        self.open.set_place(RequestPlace::Stages);
        let mut failed_run_count = 0;
        if self.draft.data_centre.is_none() {
            self.draft.data_centre = self.expected_centre();
        }
        loop {
            let core = &self.core;
            let stages = self
                .stages
                .get_or_insert_with(|| StageRun::new(core, &self.draft));
            let Err(outcome) = stages.run(&self.draft).await else {
                return Ok(());
            };
            self.stages = None;
            failed_run_count += 1;
            if outcome != PieceOutcome::InputGone || failed_run_count > MAX_STAGE_RERUNS {
                return Err(self.stage_refusal(&outcome));
            }
            info!(self.core.log, "stages run again, a result was gone";
                "request" => &self.draft.head.request_id);
        }
    }

    /// Returns the results of the stages; `None` if the request has no stages or its results were
    /// freed.
    pub fn inputs(&self) -> Option<Vec<piece::StageResult>> {
        self.stages.as_ref().map(StageRun::results)
    }

    /// Frees the results of the stages, which must be made again if the request is sent again.
    pub fn free_inputs(&mut self) {
        self.stages = None;
    }

    /// Chooses a target and takes a slot there. Refuses the request if a part of its prompt is
    /// suspect, or as [`Self::choose_target`] does.
    pub async fn take_slot(&mut self) -> Result<(CallSlot, ServicePick), RelayRefusal> {
        self.open.set_place(RequestPlace::Choice);
        let gate = pass_part_gate(&self.core, &self.draft).await;
        let is_trial = gate.map_err(|refusal| self.with_verdict(refusal))?;
        let chosen = self.choose_target().await?;
        let pick = chosen.pick.clone();
        self.draft.limited_place = None;
        let parts = self.draft.parts.clone();
        let watch = CrashWatch::new(&self.core, &pick, parts, is_trial);
        let slot = CallSlot::take(
            &self.core,
            &self.draft.service,
            chosen,
            &self.draft.prefixes,
            watch,
        );
        Ok((slot, pick))
    }

    /// Takes a slot at another entry if this one has no links to targets; `None` if it has, or if
    /// there is no entry to hand the request over to.
    pub fn take_hop(&self) -> Option<HopSlot> {
        HopSlot::take(&self.core, &self.draft, &self.tried_targets)
    }

    /// Records a failed send. Returns the refusal if the request must not be sent again.
    pub fn on_fault(&mut self, target: &str, fault: SendFault) -> Result<(), RelayRefusal> {
        let now = Instant::now();
        let core = &self.core;
        let entry_count = core.live_entry_count(now);
        let service = &self.draft.service;
        let decision = self.tracker.on_fault(fault, now, || {
            core.budget
                .borrow_mut()
                .take_repeat(service, entry_count, now)
        });
        self.open.set_verdict(self.tracker.verdict());
        self.open.set_place(RequestPlace::Choice);
        self.tried_targets.push(target.to_string());
        if fault == SendFault::Lost {
            self.unproven_loss = Some(now);
        }
        if fault == SendFault::InputsGone {
            self.stages = None;
        }
        match decision {
            RetryDecision::Retry => {
                core.metrics.repeats.inc();
                Ok(())
            }
            RetryDecision::GiveUp { verdict, reason } => Err(RelayRefusal {
                verdict,
                reason,
                detail: format!(
                    "{fault:?} at target {target} after {} sends",
                    self.tracker.sends()
                ),
                retry_after: (verdict == RunVerdict::NotRun).then_some(RETRY_DELAY),
            }),
        }
    }

    /// Returns the refusal with the verdict on the sends so far. Its retry delay is kept only if no
    /// target can have run the request.
    pub fn with_verdict(&self, refusal: RelayRefusal) -> RelayRefusal {
        let verdict = self.tracker.verdict();
        let retry_after = refusal
            .retry_after
            .filter(|_| verdict == RunVerdict::NotRun);
        RelayRefusal {
            verdict,
            retry_after,
            ..refusal
        }
    }

    /// Returns the refusal of a request whose deadline passed; `is_sent` is true if a target had
    /// been called and had not answered yet.
    pub fn deadline_refusal(&self, is_sent: bool) -> RelayRefusal {
        let detail = format!("no answer within {:?}", self.draft.arrived.elapsed());
        let refusal =
            self.with_verdict(RelayRefusal::not_run(FailureReason::DeadlinePassed, detail));
        match is_sent {
            true => RelayRefusal {
                verdict: self.tracker.verdict().max(RunVerdict::MayHaveRun),
                retry_after: None,
                ..refusal
            },
            false => refusal,
        }
    }

    fn stage_refusal(&self, outcome: &PieceOutcome) -> RelayRefusal {
        let reason = match outcome {
            PieceOutcome::Late => FailureReason::DeadlineTooShort,
            PieceOutcome::NoRoom | PieceOutcome::InputGone | PieceOutcome::Moved => {
                FailureReason::Overloaded
            }
            PieceOutcome::Failed | PieceOutcome::Made(_) => FailureReason::TargetFailed,
        };
        let refusal = RelayRefusal::not_run(reason, format!("a stage failed: {outcome:?}"));
        self.with_verdict(refusal.retry_after(RETRY_DELAY))
    }
}
