use {
    crate::{
        CallFailure, CallHistory, CallSpec, RunAction, RunAnswer, RunEvent, RunPlan,
        stream_progress::{StreamProgress, TokenPosition},
    },
    base::{AttemptNumber, FailureReason, RunClaim, StageIndex, Unsent},
    bytes::Bytes,
    std::time::Instant,
};

/// Calls that one stage may make, the first one included.
const MAX_STAGE_CALLS: u32 = 4;

/// One request on its way through the stages.
#[derive(Debug)]
pub struct RunState {
    plan: RunPlan,
    deadline: Instant,
    exposure: Option<CallHistory>,
    position: usize,
    input: Bytes,
    next_attempt: AttemptNumber,
    open: Vec<AttemptNumber>,
    stage_calls: u32,
    tally: StreamProgress,
}

impl RunState {
    /// Run of a request that no target has seen.
    pub fn new(plan: RunPlan, input: Bytes, deadline: Instant, claim: RunClaim<Unsent>) -> Self {
        Self {
            plan,
            deadline,
            exposure: Some(CallHistory::new(claim)),
            position: 0,
            input,
            next_attempt: 1,
            open: Vec::new(),
            stage_calls: 0,
            tally: StreamProgress::default(),
        }
    }

    /// Position of the stage that runs.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Plan of the run.
    pub fn plan(&self) -> &RunPlan {
        &self.plan
    }

    /// True once the run has finished or failed.
    pub fn is_over(&self) -> bool {
        self.exposure.is_none()
    }

    /// Takes in an event and says what to do. `permit` grants a further call from the retry
    /// budget. Events of calls that are no longer open are ignored.
    ///
    /// ```
    /// use {
    ///     base::RunClaim,
    ///     bytes::Bytes,
    ///     pipe::{PlanStage, RunAction, RunEvent, RunPlan, RunState},
    ///     std::time::{Duration, Instant},
    /// };
    ///
    /// let stage = PlanStage {
    ///     pool: String::from("encoders"),
    ///     call: String::from("encode"),
    ///     model: None,
    ///     is_engine: false,
    ///     is_repeatable: true,
    ///     min_time: Duration::ZERO,
    /// };
    /// let plan = RunPlan { pipeline: String::from("lookup"), stages: vec![stage] };
    /// let now = Instant::now();
    /// let deadline = now + Duration::from_secs(1);
    /// let mut run = RunState::new(plan, Bytes::from("hay"), deadline, RunClaim::new());
    /// let actions = run.on_event(RunEvent::Start, now, || true);
    /// assert!(matches!(actions[..], [RunAction::Call(_)]));
    /// let answer = RunEvent::Answered { attempt: 1, body: Bytes::from("bale") };
    /// let actions = run.on_event(answer, now, || true);
    /// assert!(matches!(actions[..], [RunAction::Finish(_)]));
    /// ```
    pub fn on_event(
        &mut self,
        event: RunEvent,
        now: Instant,
        permit: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if self.is_over() {
            return Vec::new();
        }
        match event {
            RunEvent::Start => self.start_stage(now),
            RunEvent::NotAdmitted { reason } => {
                self.fail(reason, "no place for the costliest stage")
            }
            RunEvent::Answered { attempt, body } => self.on_answer(attempt, body, now),
            RunEvent::Token {
                attempt,
                index,
                text,
            } => self.on_token(attempt, index, text, now, permit),
            RunEvent::Ended {
                attempt,
                tokens,
                digest,
            } => self.on_end(attempt, tokens, &digest, now, permit),
            RunEvent::Failed { attempt, failure } => self.on_failure(attempt, failure, now, permit),
            RunEvent::HedgeDue { attempt } => self.on_hedge(attempt, now, permit),
            RunEvent::Tick => self.on_tick(now),
            RunEvent::CallerGone => self.on_caller_gone(),
            RunEvent::Stopped => self.fail(FailureReason::Leaving, "the entry was stopped"),
            RunEvent::CallerStalled => self.fail(FailureReason::SlowReader, "caller does not read"),
        }
    }

    fn start_stage(&mut self, now: Instant) -> Vec<RunAction> {
        if now >= self.deadline {
            return self.fail(
                FailureReason::DeadlinePassed,
                "deadline passed before the stage",
            );
        }
        if now + self.plan.min_time_from(self.position) > self.deadline {
            let detail = "the stages still to come cannot finish in time";
            return self.fail(FailureReason::DeadlineTooShort, detail);
        }
        vec![self.call()]
    }

    fn call(&mut self) -> RunAction {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.stage_calls += 1;
        self.open.push(attempt);
        if let Some(log) = &mut self.exposure {
            log.begin(attempt);
        }
        RunAction::Call(CallSpec {
            stage: StageIndex::try_from(self.position).unwrap_or(StageIndex::MAX),
            attempt,
            input: self.input.clone(),
            resume_at: self.tally.tokens,
            needs_fresh_connection: !self.plan.stages[self.position].is_repeatable,
        })
    }

    fn on_answer(&mut self, attempt: AttemptNumber, body: Bytes, now: Instant) -> Vec<RunAction> {
        if !self.close(attempt) {
            return Vec::new();
        }
        self.log(|log| log.answered(attempt));
        let mut actions = self.cancel_open();
        if self.is_last_stage() {
            self.exposure = None;
            actions.push(RunAction::Finish(RunAnswer::Body(body)));
        } else {
            actions.extend(self.next_stage(body, now));
        }
        actions
    }

    fn on_token(
        &mut self,
        attempt: AttemptNumber,
        index: u64,
        text: String,
        now: Instant,
        permit: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if !self.open.contains(&attempt) {
            return Vec::new();
        }
        if now >= self.deadline {
            return self.fail(
                FailureReason::DeadlinePassed,
                "deadline passed in the stream",
            );
        }
        let last = self.is_last_stage();
        match self.tally.take(index, &text, !last) {
            TokenPosition::Next if last => vec![RunAction::Emit { index, text }],
            TokenPosition::Next | TokenPosition::Repeat => Vec::new(),
            TokenPosition::Gap => {
                let mut actions = vec![RunAction::Cancel { attempt }];
                actions.extend(self.on_failure(attempt, CallFailure::Broken, now, permit));
                actions
            }
        }
    }

    fn on_end(
        &mut self,
        attempt: AttemptNumber,
        tokens: u64,
        digest: &str,
        now: Instant,
        permit: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if !self.open.contains(&attempt) {
            return Vec::new();
        }
        if !self.tally.is_whole(tokens, digest) {
            return self.on_failure(attempt, CallFailure::Broken, now, permit);
        }
        self.close(attempt);
        self.log(|log| log.answered(attempt));
        if !self.is_last_stage() {
            let body = Bytes::from(std::mem::take(&mut self.tally.text));
            return self.next_stage(body, now);
        }
        self.exposure = None;
        vec![RunAction::Finish(RunAnswer::Tokens {
            tokens,
            length: self.tally.digest.length(),
            digest: self.tally.digest.hex(),
        })]
    }

    fn on_failure(
        &mut self,
        attempt: AttemptNumber,
        failure: CallFailure,
        now: Instant,
        mut permit: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if !self.close(attempt) {
            return Vec::new();
        }
        self.log(|log| log.failed(attempt, failure));
        if !self.open.is_empty() {
            return Vec::new();
        }
        let stage = &self.plan.stages[self.position];
        let repeatable = stage.is_repeatable || failure.is_not_run();
        let detail = format!("stage {} ({}): {failure}", self.position, stage.call);
        if failure.is_final() || !repeatable {
            return self.fail(failure.reason(), detail);
        }
        if now >= self.deadline {
            return self.fail(FailureReason::DeadlinePassed, detail);
        }
        if self.stage_calls >= MAX_STAGE_CALLS {
            return self.fail(failure.reason(), detail);
        }
        let free = matches!(failure, CallFailure::NotSent(_));
        if !free && !permit() {
            let detail = format!("{detail}, and the retry budget is spent");
            return self.fail(failure.reason(), detail);
        }
        self.start_stage(now)
    }

    fn on_hedge(
        &mut self,
        attempt: AttemptNumber,
        now: Instant,
        mut permit: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        let stage = &self.plan.stages[self.position];
        let alone = self.open == [attempt];
        let useful = now + stage.min_time < self.deadline;
        if stage.is_engine || !stage.is_repeatable || !alone || !useful || !permit() {
            return Vec::new();
        }
        vec![self.call()]
    }

    fn on_tick(&mut self, now: Instant) -> Vec<RunAction> {
        if now < self.deadline {
            return Vec::new();
        }
        self.fail(
            FailureReason::DeadlinePassed,
            "deadline passed under a call",
        )
    }

    /// A request that may not be repeated goes on, so that its answer can be asked for again.
    fn on_caller_gone(&mut self) -> Vec<RunAction> {
        if !self.plan.is_idempotent() {
            return Vec::new();
        }
        self.fail(FailureReason::SlowReader, "caller went away")
    }

    fn next_stage(&mut self, input: Bytes, now: Instant) -> Vec<RunAction> {
        self.position += 1;
        self.input = input;
        self.stage_calls = 0;
        self.tally = StreamProgress::default();
        self.start_stage(now)
    }

    fn fail(&mut self, reason: FailureReason, detail: impl Into<String>) -> Vec<RunAction> {
        let mut actions = Vec::new();
        for attempt in &self.open {
            actions.push(RunAction::Cancel { attempt: *attempt });
        }
        self.open.clear();
        if let Some(log) = self.exposure.take() {
            actions.push(RunAction::Fail(log.report(reason, detail)));
        }
        actions
    }

    /// Gives up the calls of the stage that lost against the one that answered.
    fn cancel_open(&mut self) -> Vec<RunAction> {
        let open = std::mem::take(&mut self.open);
        for attempt in &open {
            self.log(|log| log.failed(*attempt, CallFailure::Lost));
        }
        open.into_iter()
            .map(|attempt| RunAction::Cancel { attempt })
            .collect()
    }

    fn close(&mut self, attempt: AttemptNumber) -> bool {
        let before = self.open.len();
        self.open.retain(|other| *other != attempt);
        self.open.len() < before
    }

    fn log(&mut self, note: impl FnOnce(&mut CallHistory)) {
        if let Some(log) = &mut self.exposure {
            note(log);
        }
    }

    fn is_last_stage(&self) -> bool {
        self.position + 1 == self.plan.stages.len()
    }
}
