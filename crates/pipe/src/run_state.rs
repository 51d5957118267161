use {
    crate::{
        CallFailure, CallHistory, CallSpec, RunAction, RunAnswer, RunEvent, RunPlan,
        stream_progress::{StreamProgress, TokenPosition},
    },
    base::{AttemptNumber, FailureReason, RunClaim, StageIndex, Unsent},
    bytes::Bytes,
    std::time::Instant,
};

/// Maximum number of calls that are made for one stage, including the first call.
const MAX_STAGE_CALLS: u32 = 4;

/// State of one request that runs through the stages of its pipeline.
#[derive(Debug)]
pub struct RunState {
    plan: RunPlan,
    deadline: Instant,
    /// Calls of the run so far; `None` once the run has ended.
    history: Option<CallHistory>,
    /// Position of the stage that is running.
    position: usize,
    /// Input of the running stage.
    input: Bytes,
    next_attempt: AttemptNumber,
    /// Calls of the running stage that have not ended.
    open_attempts: Vec<AttemptNumber>,
    /// Number of calls made for the running stage.
    stage_call_count: u32,
    /// Tokens received for the running stage.
    progress: StreamProgress,
}

impl RunState {
    /// Creates the run of a request for which no call was made.
    pub fn new(plan: RunPlan, input: Bytes, deadline: Instant, claim: RunClaim<Unsent>) -> Self {
        Self {
            plan,
            deadline,
            history: Some(CallHistory::new(claim)),
            position: 0,
            input,
            next_attempt: 1,
            open_attempts: Vec::new(),
            stage_call_count: 0,
            progress: StreamProgress::default(),
        }
    }

    /// Returns the position of the stage that is running.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Returns the plan of the run.
    pub fn plan(&self) -> &RunPlan {
        &self.plan
    }

    /// True once the run has finished or failed.
    pub fn is_over(&self) -> bool {
        self.history.is_none()
    }

    /// Processes an event and returns the actions that follow from it.
    ///
    /// `permit_retry` takes one retry or hedge from the retry budget and returns false if the
    /// budget is exhausted. Events of calls that are no longer running are ignored.
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
        permit_retry: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if self.is_over() {
            return Vec::new();
        }
        match event {
            RunEvent::Start => self.start_stage(now),
            RunEvent::NotAdmitted { reason } => {
                self.fail(reason, "no capacity for the most expensive stage")
            }
            RunEvent::Answered { attempt, body } => self.on_answer(attempt, body, now),
            RunEvent::Token {
                attempt,
                index,
                text,
            } => self.on_token(attempt, index, text, now, permit_retry),
            RunEvent::Ended {
                attempt,
                tokens,
                digest,
            } => self.on_end(attempt, tokens, &digest, now, permit_retry),
            RunEvent::Failed { attempt, failure } => {
                self.on_failure(attempt, failure, now, permit_retry)
            }
            RunEvent::HedgeDue { attempt } => self.on_hedge(attempt, now, permit_retry),
            RunEvent::Tick => self.on_tick(now),
            RunEvent::CallerGone => self.on_caller_gone(),
            RunEvent::Stopped => self.fail(
                FailureReason::Leaving,
                "entry was stopped before the request finished",
            ),
            RunEvent::CallerStalled => self.fail(
                FailureReason::SlowReader,
                "caller stopped reading its answer",
            ),
        }
    }

    fn start_stage(&mut self, now: Instant) -> Vec<RunAction> {
        if now >= self.deadline {
            return self.fail(
                FailureReason::DeadlinePassed,
                "deadline passed before the stage started",
            );
        }
        if now + self.plan.min_time_from(self.position) > self.deadline {
            let detail = "remaining stages cannot finish before the deadline";
            return self.fail(FailureReason::DeadlineTooShort, detail);
        }
        vec![self.start_call()]
    }

    fn start_call(&mut self) -> RunAction {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        self.stage_call_count += 1;
        self.open_attempts.push(attempt);
        if let Some(history) = &mut self.history {
            history.record_call(attempt);
        }
        RunAction::Call(CallSpec {
            stage: StageIndex::try_from(self.position).unwrap_or(StageIndex::MAX),
            attempt,
            input: self.input.clone(),
            resume_at: self.progress.token_count,
            needs_fresh_connection: !self.plan.stages[self.position].is_repeatable,
        })
    }

    fn on_answer(&mut self, attempt: AttemptNumber, body: Bytes, now: Instant) -> Vec<RunAction> {
        if !self.close_attempt(attempt) {
            return Vec::new();
        }
        self.update_history(|history| history.record_answer(attempt));
        let mut actions = self.cancel_open_attempts();
        if self.is_last_stage() {
            self.history = None;
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
        permit_retry: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if !self.open_attempts.contains(&attempt) {
            return Vec::new();
        }
        if now >= self.deadline {
            return self.fail(
                FailureReason::DeadlinePassed,
                "deadline passed while tokens were streamed",
            );
        }
        let is_last = self.is_last_stage();
        match self.progress.record_token(index, &text, !is_last) {
            TokenPosition::Next if is_last => vec![RunAction::Emit { index, text }],
            TokenPosition::Next | TokenPosition::Repeat => Vec::new(),
            TokenPosition::Gap => {
                let mut actions = vec![RunAction::Cancel { attempt }];
                actions.extend(self.on_failure(attempt, CallFailure::Broken, now, permit_retry));
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
        permit_retry: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if !self.open_attempts.contains(&attempt) {
            return Vec::new();
        }
        if !self.progress.is_complete(tokens, digest) {
            return self.on_failure(attempt, CallFailure::Broken, now, permit_retry);
        }
        self.close_attempt(attempt);
        self.update_history(|history| history.record_answer(attempt));
        if !self.is_last_stage() {
            let body = Bytes::from(std::mem::take(&mut self.progress.text));
            return self.next_stage(body, now);
        }
        self.history = None;
        vec![RunAction::Finish(RunAnswer::Tokens {
            tokens,
            length: self.progress.digest.length(),
            digest: self.progress.digest.hex(),
        })]
    }

    fn on_failure(
        &mut self,
        attempt: AttemptNumber,
        failure: CallFailure,
        now: Instant,
        mut permit_retry: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        if !self.close_attempt(attempt) {
            return Vec::new();
        }
        self.update_history(|history| history.record_failure(attempt, failure));
        if !self.open_attempts.is_empty() {
            return Vec::new();
        }
        let stage = &self.plan.stages[self.position];
        let may_repeat = stage.is_repeatable || failure.is_not_run();
        let detail = format!("stage {} ({}): {failure}", self.position, stage.call);
        if failure.is_final() || !may_repeat {
            return self.fail(failure.reason(), detail);
        }
        if now >= self.deadline {
            return self.fail(FailureReason::DeadlinePassed, detail);
        }
        if self.stage_call_count >= MAX_STAGE_CALLS {
            return self.fail(failure.reason(), detail);
        }
        // A call that was not sent caused no load on a target, so its retry needs no budget.
        let is_free = matches!(failure, CallFailure::NotSent(_));
        if !is_free && !permit_retry() {
            let detail = format!("{detail}; the retry budget is exhausted");
            return self.fail(failure.reason(), detail);
        }
        self.start_stage(now)
    }

    fn on_hedge(
        &mut self,
        attempt: AttemptNumber,
        now: Instant,
        mut permit_retry: impl FnMut() -> bool,
    ) -> Vec<RunAction> {
        let stage = &self.plan.stages[self.position];
        let is_only_call = self.open_attempts == [attempt];
        let can_finish = now + stage.min_time < self.deadline;
        if stage.is_engine
            || !stage.is_repeatable
            || !is_only_call
            || !can_finish
            || !permit_retry()
        {
            return Vec::new();
        }
        vec![self.start_call()]
    }

    fn on_tick(&mut self, now: Instant) -> Vec<RunAction> {
        if now < self.deadline {
            return Vec::new();
        }
        self.fail(
            FailureReason::DeadlinePassed,
            "deadline passed during a call",
        )
    }

    /// Fails the run if the request is idempotent. Otherwise the run goes on, so that the caller
    /// can ask for its answer again.
    fn on_caller_gone(&mut self) -> Vec<RunAction> {
        if !self.plan.is_idempotent() {
            return Vec::new();
        }
        self.fail(FailureReason::SlowReader, "caller closed its connection")
    }

    fn next_stage(&mut self, input: Bytes, now: Instant) -> Vec<RunAction> {
        self.position += 1;
        self.input = input;
        self.stage_call_count = 0;
        self.progress = StreamProgress::default();
        self.start_stage(now)
    }

    fn fail(&mut self, reason: FailureReason, detail: impl Into<String>) -> Vec<RunAction> {
        let mut actions = Vec::new();
        for attempt in &self.open_attempts {
            actions.push(RunAction::Cancel { attempt: *attempt });
        }
        self.open_attempts.clear();
        if let Some(history) = self.history.take() {
            actions.push(RunAction::Fail(history.into_report(reason, detail)));
        }
        actions
    }

    /// Cancels the other calls of a stage after one was answered. Their targets may have run them,
    /// so the history records them as lost.
    fn cancel_open_attempts(&mut self) -> Vec<RunAction> {
        let attempts = std::mem::take(&mut self.open_attempts);
        for attempt in &attempts {
            self.update_history(|history| history.record_failure(*attempt, CallFailure::Lost));
        }
        attempts
            .into_iter()
            .map(|attempt| RunAction::Cancel { attempt })
            .collect()
    }

    /// Removes a call from the open calls; returns false if it was not open.
    fn close_attempt(&mut self, attempt: AttemptNumber) -> bool {
        let count_before = self.open_attempts.len();
        self.open_attempts.retain(|other| *other != attempt);
        self.open_attempts.len() < count_before
    }

    fn update_history(&mut self, update: impl FnOnce(&mut CallHistory)) {
        if let Some(history) = &mut self.history {
            update(history);
        }
    }

    fn is_last_stage(&self) -> bool {
        self.position + 1 == self.plan.stages.len()
    }
}
