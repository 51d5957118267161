use {
    crate::data::{
        AnswerSink, EntryCore, RequestDraft, RunningTicketGuard,
        answer_sink::SinkStop,
        entry_core::RunningGuard,
        failure_answer::with_retry_delay,
        stage_call::{RequestContext, StageCall},
    },
    actix_rt::task::JoinHandle,
    base::{AttemptNumber, FailureReport, RunVerdict, StageIndex},
    once::RecordedAnswer,
    pipe::{CallSpec, RunAction, RunEvent, RunState},
    setup::HttpReply,
    slog::info,
    stamp::EventKind,
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Maximum number of call events that may wait for their run.
const EVENT_CAPACITY: usize = 16;

/// Starts the run of a request that passed all filters; the receiver gets its reply.
pub fn start_run(core: &Rc<EntryCore>, draft: RequestDraft) -> oneshot::Receiver<HttpReply> {
    let is_streaming = draft.head.is_streaming;
    let keeps_answer_copy = draft.spent_ticket.is_some();
    let (sink, reply) = AnswerSink::new(
        is_streaming,
        keeps_answer_copy,
        core.settings.limits.stall_time,
    );
    let driver = RunDriver::new(core, draft);
    actix_rt::spawn(driver.run(sink));
    reply
}

/// Handle of a call's task, which is aborted when the handle is dropped.
struct CallHandle {
    task: JoinHandle<()>,
}

impl Drop for CallHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Executes the actions of one run: makes its calls and sends its answer to the caller.
struct RunDriver {
    context: Rc<RequestContext>,
    run: RunState,
    spent_ticket: Option<RunningTicketGuard>,
    arrived_at: Instant,
    inbox: mpsc::Receiver<RunEvent>,
    calls: HashMap<AttemptNumber, CallHandle>,
    _running_guard: RunningGuard,
}

/// How a run ended.
enum RunEnd {
    Completed,
    Failed(FailureReport),
}

impl RunDriver {
    fn new(core: &Rc<EntryCore>, draft: RequestDraft) -> Self {
        let (events, inbox) = mpsc::channel(EVENT_CAPACITY);
        let fingerprint = draft.fingerprint();
        let context = RequestContext {
            core: Rc::clone(core),
            customer: draft.head.customer,
            request_id: draft.head.request_id,
            pipeline: draft.pipeline,
            weight: draft.weight,
            priority: draft.head.priority,
            deadline: draft.deadline,
            fingerprint,
            events,
            tried: RefCell::default(),
            retry_after: RefCell::default(),
            reserved_slot: RefCell::default(),
        };
        Self {
            context: Rc::new(context),
            run: RunState::new(draft.plan, draft.body, draft.deadline, draft.claim),
            spent_ticket: draft.spent_ticket.map(|guard| guard.into_running()),
            arrived_at: draft.arrived_at,
            inbox,
            calls: HashMap::new(),
            _running_guard: RunningGuard::start(core),
        }
    }

    async fn run(mut self, mut sink: AnswerSink) {
        let mut event = self.reserve_slot().await;
        loop {
            let stage_index = self.run.position();
            let now = Instant::now();
            let retry_budget = &self.context.core.retry_budget;
            let actions = self
                .run
                .on_event(event, now, || retry_budget.borrow_mut().take_token(now));
            if self.run.position() != stage_index {
                self.context.clear_earlier_stages(self.run.position());
            }
            let mut sink_stop = None;
            for action in actions {
                match action {
                    RunAction::Call(spec) => self.start_call(spec),
                    RunAction::Cancel { attempt } => {
                        self.calls.remove(&attempt);
                    }
                    RunAction::Emit { index, text } => {
                        sink_stop = sink.emit(index, text).await.err().or(sink_stop);
                    }
                    RunAction::Finish(answer) => {
                        let answer = sink.finish(answer).await;
                        return self.finish(RunEnd::Completed, answer);
                    }
                    RunAction::Fail(report) => {
                        let report = self.add_retry_delay(report);
                        let answer = sink.fail(&report).await;
                        return self.finish(RunEnd::Failed(report), Some(answer));
                    }
                }
            }
            event = match sink_stop {
                // A non-idempotent run continues without its caller.
                Some(SinkStop::CallerGone) if !self.run.plan().is_idempotent() => {
                    self.next_event(&sink).await
                }
                Some(SinkStop::CallerGone) => RunEvent::CallerGone,
                Some(SinkStop::Stalled) => RunEvent::CallerStalled,
                None => self.next_event(&sink).await,
            };
        }
    }

    /// Reserves a slot for the stage with the longest expected time before any stage runs, so that
    /// a request that gets no slot wastes no work and can be reported as not run. Reserves nothing
    /// if the first stage is the longest, since no work precedes its own wait for a slot.
    async fn reserve_slot(&self) -> RunEvent {
        let expected_times = self.expected_times();
        let longest = expected_times
            .iter()
            .enumerate()
            .max_by_key(|(_, time)| **time);
        let Some((stage_index, expected_time)) =
            longest.filter(|(stage_index, _)| *stage_index > 0)
        else {
            return RunEvent::Start;
        };
        let other_stages_time = expected_times.iter().sum::<Duration>() - *expected_time;
        let deadline = self.context.deadline.checked_sub(other_stages_time);
        let deadline = deadline.unwrap_or(self.context.deadline);
        let pool = &self.run.plan().stages[stage_index].pool;
        let slot_result = tokio::select! {
            slot_result = self.context.wait_for_slot(pool, *expected_time, deadline) => slot_result,
            () = self.context.core.wait_until_stopped() => return RunEvent::Stopped,
        };
        match slot_result {
            Ok(slot) => {
                let stage = StageIndex::try_from(stage_index).unwrap_or(StageIndex::MAX);
                self.context.reserved_slot.replace(Some((stage, slot)));
                RunEvent::Start
            }
            Err(refusal) => {
                self.context.retry_after.replace(Some(refusal.retry_after));
                RunEvent::NotAdmitted {
                    reason: refusal.reason,
                }
            }
        }
    }

    fn expected_times(&self) -> Vec<Duration> {
        let now = Instant::now();
        let mut stats = self.context.core.stage_stats.borrow_mut();
        let stages = self.run.plan().stages.iter().zip(0..);
        let times = stages.map(|(stage, index)| {
            stats.expected(&self.context.pipeline, index, stage.min_time, now)
        });
        times.collect()
    }

    async fn next_event(&mut self, sink: &AnswerSink) -> RunEvent {
        let is_idempotent = self.run.plan().is_idempotent();
        let core = &self.context.core;
        tokio::select! {
            biased;
            () = sink.wait_caller_gone(), if is_idempotent => RunEvent::CallerGone,
            () = core.wait_until_stopped() => RunEvent::Stopped,
            event = self.inbox.recv() => event.unwrap_or(RunEvent::Tick),
            () = actix_rt::time::sleep_until(self.context.deadline.into()) => RunEvent::Tick,
        }
    }

    fn start_call(&mut self, spec: CallSpec) {
        let attempt = spec.attempt;
        let stage = self.run.plan().stages[usize::from(spec.stage)].clone();
        let call = StageCall::new(&self.context, stage, spec);
        let task = actix_rt::spawn(call.run());
        self.calls.insert(attempt, CallHandle { task });
    }

    /// Adds the retry delay to a failure, unless the failure is recorded as the answer under a
    /// ticket, which must not be retried.
    fn add_retry_delay(&self, report: FailureReport) -> FailureReport {
        if self.spent_ticket.is_some() && report.verdict != RunVerdict::NotRun {
            return report;
        }
        match self.context.retry_after.take() {
            Some(delay) => report.retry_after(delay),
            None => with_retry_delay(report),
        }
    }

    fn finish(mut self, end: RunEnd, answer: Option<RecordedAnswer>) {
        let verdict = match &end {
            RunEnd::Completed => None,
            RunEnd::Failed(report) => Some(report.verdict),
        };
        if let (Some(guard), Some(answer)) = (self.spent_ticket.take(), answer) {
            guard.record_answer(answer, verdict);
        }
        self.log_end(&end, verdict);
    }

    fn log_end(&self, end: &RunEnd, verdict: Option<RunVerdict>) {
        let outcome = verdict.map_or(String::from("whole"), |verdict| verdict.to_string());
        let reason = match end {
            RunEnd::Completed => String::new(),
            RunEnd::Failed(report) => report.reason.name(),
        };
        let context = &self.context;
        context
            .core
            .metrics
            .count(&format!("requests.{outcome}"), 1);
        context
            .core
            .recorder
            .record(EventKind::RequestEnded, |event| {
                event
                    .with_customer(&context.customer)
                    .with_request(&context.request_id)
                    .with_detail(format!("{outcome} {reason}").trim_end())
            });
        info!(context.core.log, "request";
            "customer" => &context.customer,
            "request" => &context.request_id,
            "pipeline" => &context.pipeline,
            "stages" => self.run.position() + 1,
            "outcome" => outcome,
            "reason" => reason,
            "ms" => millis(self.arrived_at.elapsed()),
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
