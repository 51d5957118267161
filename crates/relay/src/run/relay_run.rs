use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        filters::stale_keys,
        run::call_place::CallPlace,
        shared::{RelayCore, RunningPlace},
        stage::StageRun,
    },
    base::{FailureReason, RunVerdict},
    piece::PieceOutcome,
    retry::{AttemptTracker, RetryDecision, SendFault},
    route::{ServicePick, ServiceQuery},
    slog::info,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// When to come back after a failure that passes quickly.
const SHORT_DELAY: Duration = Duration::from_millis(200);

/// Times that stages are run again because results were lost.
const GONE_TRIES: u32 = 1;

/// One request on its way through stages and targets.
pub struct RelayRun {
    pub core: Rc<RelayCore>,
    pub draft: RelayDraft,
    pub tracker: AttemptTracker,
    stages: Option<StageRun>,
    tried: Vec<String>,
    _running: RunningPlace,
}

impl RelayRun {
    pub fn new(core: &Rc<RelayCore>, draft: RelayDraft, running: RunningPlace) -> Self {
        let rule = &draft.rule;
        let may_repeat = rule.repeat.may_repeat();
        Self {
            core: Rc::clone(core),
            tracker: AttemptTracker::new(may_repeat, rule.max_targets, draft.due),
            stages: None,
            tried: Vec::new(),
            _running: running,
            draft,
        }
    }

    /// Runs the stages that are not done yet.
    pub async fn prepare(&mut self) -> Result<(), RelayRefusal> {
        if !self.draft.has_stages() {
            return Ok(());
        }
        let mut tries = 0;
        if self.draft.data_centre.is_none() {
            self.draft.data_centre = self.pick(Instant::now()).map(|pick| pick.data_centre);
        }
        loop {
            let core = &self.core;
            let stages = self
                .stages
                .get_or_insert_with(|| StageRun::new(core, &self.draft));
            let Err(end) = stages.run(&self.draft).await else {
                return Ok(());
            };
            self.stages = None;
            tries += 1;
            if end != PieceOutcome::InputGone || tries > GONE_TRIES {
                return Err(self.stage_refusal(&end));
            }
            info!(self.core.log, "stages run again, a result was gone";
                "request" => &self.draft.head.request);
        }
    }

    /// Results of the stages, if the request has stages.
    pub fn inputs(&self) -> Option<Vec<piece::StageResult>> {
        self.stages.as_ref().map(StageRun::results)
    }

    /// Frees the results of the stages; a further send makes them anew.
    pub fn release_inputs(&mut self) {
        self.stages = None;
    }

    /// Chooses a target and takes a place there.
    pub fn place(&mut self) -> Result<(CallPlace, ServicePick), RelayRefusal> {
        let now = Instant::now();
        if self.draft.organisation.is_some() && !self.core.may_use_keys() {
            return Err(self.refusal(stale_keys()));
        }
        let Some(pick) = self.pick(now) else {
            let detail = format!("no further target of {}", self.draft.service);
            let refusal = RelayRefusal::unrun(FailureReason::NoTarget, detail);
            return Err(self.refusal(refusal.retry_after(SHORT_DELAY)));
        };
        let place = CallPlace::take(
            &self.core,
            &self.draft.service,
            pick.clone(),
            &self.draft.chain,
        );
        Ok((place, pick))
    }

    /// Best target at this moment.
    fn pick(&self, now: Instant) -> Option<ServicePick> {
        let own = self.core.settings.borrow().data_centre.clone();
        let stages = self.stages.as_ref();
        let inputs = stages.map(|stages| stages.result_bytes(&self.draft));
        let query = ServiceQuery {
            prefixes: &self.draft.chain,
            tried: &self.tried,
            data_centre: &own,
            inputs: &inputs.unwrap_or_default(),
        };
        let pools = self.core.pools.borrow();
        let mut random = self.core.random.borrow_mut();
        let pool = pools.get(&self.draft.service)?;
        pool.pick(query, now, &mut *random)
    }

    /// Records a failed send; the refusal if no other may follow.
    pub fn on_fault(&mut self, target: &str, fault: SendFault) -> Result<(), RelayRefusal> {
        let now = Instant::now();
        let core = &self.core;
        let entries = core.live_entries(now);
        let service = &self.draft.service;
        let decision = self.tracker.on_fault(fault, now, || {
            core.budget.borrow_mut().take_repeat(service, entries, now)
        });
        self.tried.push(target.to_string());
        if fault == SendFault::InputsGone {
            self.stages = None;
        }
        match decision {
            RetryDecision::Retry => {
                core.meters.repeats.inc();
                Ok(())
            }
            RetryDecision::GiveUp { verdict, reason } => Err(RelayRefusal {
                verdict,
                reason,
                detail: format!("{fault:?} at {target} after {} sends", self.tracker.sends()),
                retry_after: (verdict == RunVerdict::NotRun).then_some(SHORT_DELAY),
            }),
        }
    }

    /// The refusal with the verdict of what was sent so far.
    pub fn refusal(&self, refusal: RelayRefusal) -> RelayRefusal {
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

    /// The refusal of a request whose time is over.
    pub fn late_refusal(&self, sent: bool) -> RelayRefusal {
        let detail = format!("no answer within {:?}", self.draft.arrived.elapsed());
        let refusal = self.refusal(RelayRefusal::unrun(FailureReason::DeadlinePassed, detail));
        match sent {
            true => RelayRefusal {
                verdict: self.tracker.verdict().max(RunVerdict::MayHaveRun),
                retry_after: None,
                ..refusal
            },
            false => refusal,
        }
    }

    fn stage_refusal(&self, end: &PieceOutcome) -> RelayRefusal {
        let reason = match end {
            PieceOutcome::Late => FailureReason::DeadlineTooShort,
            PieceOutcome::NoRoom | PieceOutcome::InputGone | PieceOutcome::Moved => {
                FailureReason::Overloaded
            }
            PieceOutcome::Failed | PieceOutcome::Made(_) => FailureReason::TargetFailed,
        };
        let refusal = RelayRefusal::unrun(reason, format!("a stage ended as {end:?}"));
        self.refusal(refusal.retry_after(SHORT_DELAY))
    }
}
