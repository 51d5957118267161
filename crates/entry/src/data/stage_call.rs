use {
    crate::{
        data::{
            EntryCore, PlaceQuery,
            call_guard::CallGuard,
            call_place::{CallPlace, PlaceEnd},
            pool_desk::CallResult,
            target_call::{CallEnd, CallReport, TargetCall},
        },
        shared::ControlMessage,
    },
    base::{CallIdentity, FailureReason, PipelineId, RequestPriority, StageIndex, TargetId},
    limit::ReleaseOutcome,
    pipe::{CallFailure, CallSpec, NotRunProof, PlanStage, RunEvent},
    retry::{CrashFingerprint, HedgeCandidate, TrackedCall, TrackedCallEnd, short_hash},
    route::{CallOutcome, Pick},
    setup::is_process_gone,
    slog::info,
    stamp::EventKind,
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
    wire::StrikeVictim,
};

/// Tokens that an engine's call is scaled to, so that long and short answers compare.
const NOMINAL_TOKENS: f64 = 16.0;
/// What all calls of one request share.
pub struct CallScope {
    pub core: Rc<EntryCore>,
    pub customer: String,
    pub request: String,
    pub pipeline: PipelineId,
    pub weight: u32,
    pub priority: RequestPriority,
    pub deadline: Instant,
    pub fingerprint: CrashFingerprint,
    pub events: mpsc::Sender<RunEvent>,
    /// Targets that the stage has tried.
    pub tried: RefCell<Vec<TargetId>>,
    /// When a caller whose call got no place should come back.
    pub retry_after: RefCell<Option<Duration>>,
    /// Place that is held for a stage still to come.
    pub reserved: RefCell<Option<(StageIndex, CallPlace)>>,
}

impl CallScope {
    /// Waits for a place at a pool.
    pub async fn wait_place(
        &self,
        pool: &str,
        cost: Duration,
        deadline: Instant,
    ) -> Result<CallPlace, PlaceEnd> {
        let query = PlaceQuery {
            pool,
            customer: &self.customer,
            weight: self.weight,
            priority: self.priority,
            deadline,
            cost,
        };
        self.core.refresh();
        let waiting = self.core.pools.borrow_mut().request(query, Instant::now());
        match waiting.await {
            Ok(outcome) => outcome,
            Err(_) => Err(PlaceEnd::new(FailureReason::NoTarget, Duration::ZERO)),
        }
    }

    /// Forgets what was kept for stages that have ended.
    pub fn leave_stages_before(&self, position: usize) {
        self.tried.borrow_mut().clear();
        let mut reserved = self.reserved.borrow_mut();
        reserved.take_if(|(held, _)| usize::from(*held) < position);
    }

    /// Place that was held for this stage.
    fn take_reserved(&self, stage: StageIndex) -> Option<CallPlace> {
        let mut reserved = self.reserved.borrow_mut();
        let (_, place) = reserved.take_if(|(held, _)| *held == stage)?;
        Some(place)
    }
}

/// One call of one stage: waits for its place, chooses a target and makes the call.
pub struct StageCall {
    pub(super) scope: Rc<CallScope>,
    pub(super) stage: PlanStage,
    pub(super) spec: CallSpec,
    cost: Duration,
}

impl StageCall {
    pub fn new(scope: &Rc<CallScope>, stage: PlanStage, spec: CallSpec) -> Self {
        let cost = scope.core.stages.borrow_mut().expected(
            &scope.pipeline,
            spec.stage,
            stage.min_time,
            Instant::now(),
        );
        Self {
            scope: Rc::clone(scope),
            stage,
            spec,
            cost,
        }
    }

    /// Runs the call; its events go to the run.
    pub async fn run(self) {
        if let Err(failure) = self.try_run().await {
            self.send(RunEvent::Failed {
                attempt: self.spec.attempt,
                failure,
            })
            .await;
        }
    }

    async fn try_run(&self) -> Result<(), CallFailure> {
        let place = self.wait_place().await.map_err(|end| self.withheld(end))?;
        let pick = self.pick_target().await?;
        let guard = CallGuard::start(
            &self.scope.core,
            &self.stage.pool,
            self.tracked_call(&pick.target),
        );
        self.record(EventKind::CallSent, &pick.target, "");
        self.make_call(pick, place, guard).await
    }

    async fn wait_place(&self) -> Result<CallPlace, PlaceEnd> {
        let scope = &self.scope;
        match scope.take_reserved(self.spec.stage) {
            Some(place) => Ok(place),
            None => {
                scope
                    .wait_place(&self.stage.pool, self.cost, scope.deadline)
                    .await
            }
        }
    }

    pub(super) fn tracked_call<'a>(&self, target: &'a str) -> TrackedCall<'a> {
        TrackedCall {
            fingerprint: self.scope.fingerprint,
            stage: self.spec.stage,
            target,
        }
    }

    async fn make_call(
        &self,
        pick: Pick,
        place: CallPlace,
        guard: CallGuard,
    ) -> Result<(), CallFailure> {
        let scope = &self.scope;
        let call = self.target_call(&pick);
        let mut report = CallReport::new(scope.events.clone(), place);
        let end = {
            let calling = call.run(&scope.core.client, &mut report);
            tokio::pin!(calling);
            let hedge = self.hedge_after();
            tokio::select! {
                end = &mut calling => end,
                () = sleep_or_never(hedge) => {
                    self.send(RunEvent::HedgeDue { attempt: self.spec.attempt }).await;
                    calling.await
                }
            }
        };
        let died = match end {
            CallEnd::Failed(CallFailure::Lost) => self.has_died(&pick).await,
            _ => false,
        };
        if report.word.leaving {
            let now = Instant::now();
            scope
                .core
                .pools
                .borrow_mut()
                .mark_leaving(&self.stage.pool, &pick.target, now);
            scope
                .core
                .note(ControlMessage::TargetLeaving(pick.target.clone()));
        }
        let elapsed = guard.elapsed().saturating_sub(report.blocked);
        let scaled = scaled_time(elapsed, self.stage.is_engine, report.tokens);
        if let Some(place) = &mut report.place {
            place.note(release_outcome(&end), scaled, report.word.load);
        }
        let load = report.word.load;
        guard.finish(
            CallResult {
                elapsed: scaled,
                outcome: call_outcome(&end),
                load,
            },
            run_end(&end, died),
        );
        match end {
            CallEnd::Whole(event) => {
                self.record(EventKind::CallAnswered, &pick.target, "");
                self.count_success(elapsed);
                self.send(event).await;
                Ok(())
            }
            CallEnd::Failed(failure) => {
                let detail = failure.to_string();
                self.record(EventKind::CallFailed, &pick.target, &detail);
                if died {
                    self.record(
                        EventKind::Strike,
                        &pick.target,
                        "target died under the call",
                    );
                    self.tell_strike(&pick.target);
                }
                self.keep_place(report.place, failure);
                Err(failure)
            }
        }
    }

    /// Lets peers hear of the strike that the crash tracker holds for a death of the target.
    fn tell_strike(&self, target: &str) {
        let core = &self.scope.core;
        let strikes = core.crashes.borrow().strikes_at(self.tracked_call(target));
        core.note(ControlMessage::Strike {
            fingerprint: self.scope.fingerprint,
            victim: StrikeVictim {
                target: short_hash(target),
                stage: self.spec.stage,
            },
            strikes: u8::try_from(strikes).unwrap_or(u8::MAX),
        });
    }

    /// Finds out whether the target of a lost call is dead.
    async fn has_died(&self, pick: &Pick) -> bool {
        let scope = &self.scope;
        let died = is_process_gone(pick.address.as_str()).await;
        info!(scope.core.log, "call lost";
            "customer" => &scope.customer,
            "request" => &scope.request,
            "stage" => self.spec.stage,
            "attempt" => self.spec.attempt,
            "target" => &pick.target,
            "target_died" => died,
        );
        died
    }

    /// Keeps the place for a further call of the stage: a request that was let in does not queue
    /// again for its target's fault. A target that is too busy is told apart.
    fn keep_place(&self, place: Option<CallPlace>, failure: CallFailure) {
        let busy = matches!(failure, CallFailure::Refused(_) | CallFailure::TimedOut);
        if let Some(place) = place.filter(|_| !busy) {
            let held = Some((self.spec.stage, place));
            self.scope.reserved.replace(held);
        }
    }

    fn target_call(&self, pick: &Pick) -> TargetCall {
        let scope = &self.scope;
        TargetCall {
            identity: CallIdentity {
                customer: scope.customer.clone(),
                request: scope.request.clone(),
                stage: self.spec.stage,
                attempt: self.spec.attempt,
            },
            address: pick.address.clone(),
            call: self.stage.call.clone(),
            model: self.stage.model.clone(),
            engine: self.stage.is_engine,
            fresh: self.spec.needs_fresh_connection,
            priority: scope.priority,
            remaining: scope.deadline.saturating_duration_since(Instant::now()),
            resume_at: self.spec.resume_at,
            input: self.spec.input.clone(),
        }
    }

    fn hedge_after(&self) -> Option<Duration> {
        let call = HedgeCandidate {
            is_idempotent: self.stage.is_repeatable,
            is_streaming: self.stage.is_engine,
        };
        let mut stages = self.scope.core.stages.borrow_mut();
        stages.hedge_after(&self.scope.pipeline, self.spec.stage, call)
    }

    fn count_success(&self, elapsed: Duration) {
        let core = &self.scope.core;
        core.budget.borrow_mut().on_success();
        let mut stages = core.stages.borrow_mut();
        stages.observe(
            &self.scope.pipeline,
            self.spec.stage,
            elapsed,
            Instant::now(),
        );
    }

    fn withheld(&self, end: PlaceEnd) -> CallFailure {
        self.scope.retry_after.replace(Some(end.retry_after));
        self.unsent(end.reason)
    }

    pub(super) fn unsent(&self, reason: FailureReason) -> CallFailure {
        CallFailure::NotAdmitted(NotRunProof::not_called(), reason)
    }

    async fn send(&self, event: RunEvent) {
        let _ = self.scope.events.send(event).await;
    }

    fn record(&self, kind: EventKind, target: &str, detail: &str) {
        let scope = &self.scope;
        scope.core.metrics.count(&format!("calls.{kind}"), 1);
        scope.core.recorder.record(kind, |event| {
            event
                .with_customer(&scope.customer)
                .with_request(&scope.request)
                .with_stage(self.spec.stage)
                .with_attempt(self.spec.attempt)
                .with_detail(format!("{target} {detail}").trim_end())
        });
    }
}

async fn sleep_or_never(delay: Option<Duration>) {
    match delay {
        Some(delay) => actix_rt::time::sleep(delay).await,
        None => std::future::pending().await,
    }
}

/// Engine calls are compared by their time for each token.
fn scaled_time(elapsed: Duration, engine: bool, tokens: u64) -> Duration {
    if !engine || tokens == 0 {
        return elapsed;
    }
    elapsed.mul_f64(NOMINAL_TOKENS / tokens as f64)
}

fn release_outcome(end: &CallEnd) -> ReleaseOutcome {
    match end {
        CallEnd::Whole(_) => ReleaseOutcome::Answered,
        CallEnd::Failed(CallFailure::Refused(_)) => ReleaseOutcome::Refused,
        CallEnd::Failed(CallFailure::TimedOut) => ReleaseOutcome::TimedOut,
        CallEnd::Failed(_) => ReleaseOutcome::Ignored,
    }
}

fn call_outcome(end: &CallEnd) -> CallOutcome {
    match end {
        CallEnd::Whole(_) => CallOutcome::Answered,
        CallEnd::Failed(CallFailure::Refused(_)) => CallOutcome::Refused,
        CallEnd::Failed(CallFailure::Errored) => CallOutcome::Failed,
        CallEnd::Failed(CallFailure::TimedOut) => CallOutcome::TimedOut,
        CallEnd::Failed(_) => CallOutcome::Lost,
    }
}

fn run_end(end: &CallEnd, died: bool) -> TrackedCallEnd {
    match end {
        CallEnd::Whole(_) => TrackedCallEnd::Whole,
        CallEnd::Failed(_) if died => TrackedCallEnd::TargetDied,
        CallEnd::Failed(_) => TrackedCallEnd::Other,
    }
}
