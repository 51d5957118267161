use {
    crate::{
        data::{
            EntryCore, SlotQuery,
            call_guard::CallGuard,
            call_slot::{CallSlot, SlotRefusal},
            pool_scheduler::CallResult,
            target_call::{CallEnd, CallProgress, TargetCall},
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

/// Token count to which the time of an engine's call is scaled, so that answers of different
/// lengths are comparable.
const NOMINAL_TOKENS: f64 = 16.0;

/// Data that all calls of one request share.
pub struct RequestContext {
    pub core: Rc<EntryCore>,
    pub customer: String,
    pub request_id: String,
    pub pipeline: PipelineId,
    /// Weight of the customer relative to the others.
    pub weight: u32,
    pub priority: RequestPriority,
    pub deadline: Instant,
    pub fingerprint: CrashFingerprint,
    /// Sends the events of the calls to the run.
    pub events: mpsc::Sender<RunEvent>,
    /// Targets that the current stage has tried.
    pub tried: RefCell<Vec<TargetId>>,
    /// Retry delay for the caller, set when a call got no slot.
    pub retry_after: RefCell<Option<Duration>>,
    /// Slot that is reserved for the next call of the given stage.
    pub reserved_slot: RefCell<Option<(StageIndex, CallSlot)>>,
}

impl RequestContext {
    /// Waits for a slot of a pool.
    pub async fn wait_for_slot(
        &self,
        pool: &str,
        expected_time: Duration,
        deadline: Instant,
    ) -> Result<CallSlot, SlotRefusal> {
        let query = SlotQuery {
            pool,
            customer: &self.customer,
            weight: self.weight,
            priority: self.priority,
            deadline,
            expected_time,
        };
        self.core.refresh();
        let waiting = self
            .core
            .pools
            .borrow_mut()
            .request_slot(query, Instant::now());
        match waiting.await {
            Ok(outcome) => outcome,
            Err(_) => Err(SlotRefusal::new(FailureReason::NoTarget, Duration::ZERO)),
        }
    }

    /// Clears the tried targets, and the slot that is reserved for a stage before the given one.
    pub fn clear_earlier_stages(&self, stage_index: usize) {
        self.tried.borrow_mut().clear();
        let mut reserved_slot = self.reserved_slot.borrow_mut();
        reserved_slot.take_if(|(reserved_stage, _)| usize::from(*reserved_stage) < stage_index);
    }

    /// Takes the slot that is reserved for this stage, if there is one.
    fn take_reserved_slot(&self, stage_index: StageIndex) -> Option<CallSlot> {
        let mut reserved_slot = self.reserved_slot.borrow_mut();
        let (_, slot) =
            reserved_slot.take_if(|(reserved_stage, _)| *reserved_stage == stage_index)?;
        Some(slot)
    }
}

/// One call of one stage: waits for its slot, chooses a target and makes the call.
pub struct StageCall {
    pub(super) context: Rc<RequestContext>,
    pub(super) stage: PlanStage,
    pub(super) spec: CallSpec,
    expected_time: Duration,
}

impl StageCall {
    pub fn new(context: &Rc<RequestContext>, stage: PlanStage, spec: CallSpec) -> Self {
        let expected_time = context.core.stage_stats.borrow_mut().expected(
            &context.pipeline,
            spec.stage,
            stage.min_time,
            Instant::now(),
        );
        Self {
            context: Rc::clone(context),
            stage,
            spec,
            expected_time,
        }
    }

    /// Runs the call and sends its events to the run.
    pub async fn run(self) {
        if let Err(failure) = self.try_run().await {
            self.send_event(RunEvent::Failed {
                attempt: self.spec.attempt,
                failure,
            })
            .await;
        }
    }

    async fn try_run(&self) -> Result<(), CallFailure> {
        let slot = self
            .wait_for_slot()
            .await
            .map_err(|refusal| self.slot_failure(refusal))?;
        let pick = self.pick_target().await?;
        let guard = CallGuard::start(
            &self.context.core,
            &self.stage.pool,
            self.tracked_call(&pick.target),
        );
        self.record_event(EventKind::CallSent, &pick.target, "");
        self.make_call(pick, slot, guard).await
    }

    async fn wait_for_slot(&self) -> Result<CallSlot, SlotRefusal> {
        let context = &self.context;
        match context.take_reserved_slot(self.spec.stage) {
            Some(slot) => Ok(slot),
            None => {
                context
                    .wait_for_slot(&self.stage.pool, self.expected_time, context.deadline)
                    .await
            }
        }
    }

    pub(super) fn tracked_call<'a>(&self, target: &'a str) -> TrackedCall<'a> {
        TrackedCall {
            fingerprint: self.context.fingerprint,
            stage: self.spec.stage,
            target,
        }
    }

    async fn make_call(
        &self,
        pick: Pick,
        slot: CallSlot,
        guard: CallGuard,
    ) -> Result<(), CallFailure> {
        let context = &self.context;
        let call = self.target_call(&pick);
        let mut progress = CallProgress::new(context.events.clone(), slot);
        let end = {
            let calling = call.run(&context.core.client, &mut progress);
            tokio::pin!(calling);
            let hedge_delay = self.hedge_delay();
            tokio::select! {
                end = &mut calling => end,
                () = sleep_or_never(hedge_delay) => {
                    self.send_event(RunEvent::HedgeDue { attempt: self.spec.attempt }).await;
                    calling.await
                }
            }
        };
        let is_target_dead = match end {
            CallEnd::Failed(CallFailure::Lost) => self.check_target_death(&pick).await,
            _ => false,
        };
        if progress.reported.is_leaving {
            let now = Instant::now();
            context
                .core
                .pools
                .borrow_mut()
                .mark_leaving(&self.stage.pool, &pick.target, now);
            context
                .core
                .notify_control(ControlMessage::TargetLeaving(pick.target.clone()));
        }
        let elapsed = guard.elapsed().saturating_sub(progress.blocked_time);
        let normalised_time = normalised_time(elapsed, self.stage.is_engine, progress.tokens);
        if let Some(slot) = &mut progress.slot {
            slot.record_end(
                release_outcome(&end),
                normalised_time,
                progress.reported.load,
            );
        }
        let load = progress.reported.load;
        guard.finish(
            CallResult {
                elapsed: normalised_time,
                outcome: call_outcome(&end),
                load,
            },
            tracked_end(&end, is_target_dead),
        );
        match end {
            CallEnd::Answered(event) => {
                self.record_event(EventKind::CallAnswered, &pick.target, "");
                self.record_success(elapsed);
                self.send_event(event).await;
                Ok(())
            }
            CallEnd::Failed(failure) => {
                let detail = failure.to_string();
                self.record_event(EventKind::CallFailed, &pick.target, &detail);
                if is_target_dead {
                    self.record_event(
                        EventKind::Strike,
                        &pick.target,
                        "target died during the call",
                    );
                    self.notify_strike(&pick.target);
                }
                self.reserve_or_release_slot(progress.slot, failure);
                Err(failure)
            }
        }
    }

    /// Notifies peers of the strikes that the crash tracker holds for this request, stage and
    /// target.
    fn notify_strike(&self, target: &str) {
        let core = &self.context.core;
        let strikes = core
            .crash_tracker
            .borrow()
            .strikes_at(self.tracked_call(target));
        core.notify_control(ControlMessage::Strike {
            fingerprint: self.context.fingerprint,
            victim: StrikeVictim {
                target: short_hash(target),
                stage: self.spec.stage,
            },
            strikes: u8::try_from(strikes).unwrap_or(u8::MAX),
        });
    }

    /// Checks whether the process of the target of a lost call has ended, and logs the result.
    async fn check_target_death(&self, pick: &Pick) -> bool {
        let context = &self.context;
        let is_target_dead = is_process_gone(pick.address.as_str()).await;
        info!(context.core.log, "call lost";
            "customer" => &context.customer,
            "request" => &context.request_id,
            "stage" => self.spec.stage,
            "attempt" => self.spec.attempt,
            "target" => &pick.target,
            "target_died" => is_target_dead,
        );
        is_target_dead
    }

    /// Reserves the slot for a retry of the stage, since an admitted request should not queue again
    /// because of a fault of its target. If the target was too busy, the slot is released.
    fn reserve_or_release_slot(&self, slot: Option<CallSlot>, failure: CallFailure) {
        let is_busy = matches!(failure, CallFailure::Refused(_) | CallFailure::TimedOut);
        if let Some(slot) = slot.filter(|_| !is_busy) {
            let reservation = Some((self.spec.stage, slot));
            self.context.reserved_slot.replace(reservation);
        }
    }

    fn target_call(&self, pick: &Pick) -> TargetCall {
        let context = &self.context;
        TargetCall {
            identity: CallIdentity {
                customer: context.customer.clone(),
                request: context.request_id.clone(),
                stage: self.spec.stage,
                attempt: self.spec.attempt,
            },
            address: pick.address.clone(),
            call_kind: self.stage.call.clone(),
            model: self.stage.model.clone(),
            is_engine: self.stage.is_engine,
            needs_fresh_connection: self.spec.needs_fresh_connection,
            priority: context.priority,
            remaining: context.deadline.saturating_duration_since(Instant::now()),
            resume_at: self.spec.resume_at,
            input: self.spec.input.clone(),
        }
    }

    fn hedge_delay(&self) -> Option<Duration> {
        let call = HedgeCandidate {
            is_idempotent: self.stage.is_repeatable,
            is_streaming: self.stage.is_engine,
        };
        let mut stats = self.context.core.stage_stats.borrow_mut();
        stats.hedge_delay(&self.context.pipeline, self.spec.stage, call)
    }

    fn record_success(&self, elapsed: Duration) {
        let core = &self.context.core;
        core.retry_budget.borrow_mut().on_success();
        let mut stats = core.stage_stats.borrow_mut();
        stats.observe(
            &self.context.pipeline,
            self.spec.stage,
            elapsed,
            Instant::now(),
        );
    }

    fn slot_failure(&self, refusal: SlotRefusal) -> CallFailure {
        self.context.retry_after.replace(Some(refusal.retry_after));
        self.not_admitted(refusal.reason)
    }

    pub(super) fn not_admitted(&self, reason: FailureReason) -> CallFailure {
        CallFailure::NotAdmitted(NotRunProof::not_called(), reason)
    }

    async fn send_event(&self, event: RunEvent) {
        let _ = self.context.events.send(event).await;
    }

    fn record_event(&self, kind: EventKind, target: &str, detail: &str) {
        let context = &self.context;
        context.core.metrics.count(&format!("calls.{kind}"), 1);
        context.core.recorder.record(kind, |event| {
            event
                .with_customer(&context.customer)
                .with_request(&context.request_id)
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

/// Scales the time of an engine's call to `NOMINAL_TOKENS` tokens.
fn normalised_time(elapsed: Duration, is_engine: bool, tokens: u64) -> Duration {
    if !is_engine || tokens == 0 {
        return elapsed;
    }
    elapsed.mul_f64(NOMINAL_TOKENS / tokens as f64)
}

fn release_outcome(end: &CallEnd) -> ReleaseOutcome {
    match end {
        CallEnd::Answered(_) => ReleaseOutcome::Answered,
        CallEnd::Failed(CallFailure::Refused(_)) => ReleaseOutcome::Refused,
        CallEnd::Failed(CallFailure::TimedOut) => ReleaseOutcome::TimedOut,
        CallEnd::Failed(_) => ReleaseOutcome::Ignored,
    }
}

fn call_outcome(end: &CallEnd) -> CallOutcome {
    match end {
        CallEnd::Answered(_) => CallOutcome::Answered,
        CallEnd::Failed(CallFailure::Refused(_)) => CallOutcome::Refused,
        CallEnd::Failed(CallFailure::Errored) => CallOutcome::Failed,
        CallEnd::Failed(CallFailure::TimedOut) => CallOutcome::TimedOut,
        CallEnd::Failed(_) => CallOutcome::Lost,
    }
}

fn tracked_end(end: &CallEnd, is_target_dead: bool) -> TrackedCallEnd {
    match end {
        CallEnd::Answered(_) => TrackedCallEnd::Whole,
        CallEnd::Failed(_) if is_target_dead => TrackedCallEnd::TargetDied,
        CallEnd::Failed(_) => TrackedCallEnd::Other,
    }
}
