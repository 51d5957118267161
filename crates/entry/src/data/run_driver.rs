use {
    crate::data::{
        AnswerSink, EntryCore, RequestDraft, RunningSpend,
        answer_sink::SinkStop,
        entry_core::RunningPlace,
        failure_answer::with_delay,
        stage_call::{CallScope, StageCall},
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

/// Events of calls that may wait for their run.
const CALL_EVENTS: usize = 16;

/// Starts the run of a request that passed every filter; the receiver gets its reply.
pub fn start_run(core: &Rc<EntryCore>, draft: RequestDraft) -> oneshot::Receiver<HttpReply> {
    let streaming = draft.head.stream;
    let keep = draft.spend.is_some();
    let (sink, reply) = AnswerSink::new(streaming, keep, core.settings.limits.stall_time);
    let driver = RunDriver::new(core, draft);
    actix_rt::spawn(driver.run(sink));
    reply
}

/// Stops a call when dropped.
struct CallHandle {
    task: JoinHandle<()>,
}

impl Drop for CallHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Carries out the actions of one run: makes its calls and gives its answer to the caller.
struct RunDriver {
    scope: Rc<CallScope>,
    run: RunState,
    spend: Option<RunningSpend>,
    arrived: Instant,
    inbox: mpsc::Receiver<RunEvent>,
    calls: HashMap<AttemptNumber, CallHandle>,
    _place: RunningPlace,
}

/// How a run ended.
enum RunEnd {
    Whole,
    Failed(FailureReport),
}

impl RunDriver {
    fn new(core: &Rc<EntryCore>, draft: RequestDraft) -> Self {
        let (events, inbox) = mpsc::channel(CALL_EVENTS);
        let fingerprint = draft.fingerprint();
        let scope = CallScope {
            core: Rc::clone(core),
            customer: draft.head.customer,
            request: draft.head.request,
            pipeline: draft.pipeline,
            weight: draft.weight,
            priority: draft.head.priority,
            deadline: draft.deadline,
            fingerprint,
            events,
            tried: RefCell::default(),
            retry_after: RefCell::default(),
            reserved: RefCell::default(),
        };
        Self {
            scope: Rc::new(scope),
            run: RunState::new(draft.plan, draft.body, draft.deadline, draft.claim),
            spend: draft.spend.map(|spend| spend.into_running()),
            arrived: draft.arrived,
            inbox,
            calls: HashMap::new(),
            _place: RunningPlace::take(core),
        }
    }

    async fn run(mut self, mut sink: AnswerSink) {
        let mut event = self.reserve().await;
        loop {
            let position = self.run.position();
            let now = Instant::now();
            let budget = &self.scope.core.budget;
            let actions = self
                .run
                .on_event(event, now, || budget.borrow_mut().take_token(now));
            if self.run.position() != position {
                self.scope.leave_stages_before(self.run.position());
            }
            let mut stop = None;
            for action in actions {
                match action {
                    RunAction::Call(spec) => self.start_call(spec),
                    RunAction::Cancel { attempt } => {
                        self.calls.remove(&attempt);
                    }
                    RunAction::Emit { index, text } => {
                        stop = sink.emit(index, text).await.err().or(stop);
                    }
                    RunAction::Finish(answer) => {
                        let answer = sink.finish(answer).await;
                        return self.end(RunEnd::Whole, answer);
                    }
                    RunAction::Fail(report) => {
                        let report = self.complete(report);
                        let answer = sink.fail(&report).await;
                        return self.end(RunEnd::Failed(report), Some(answer));
                    }
                }
            }
            event = match stop {
                Some(SinkStop::Gone) if !self.run.plan().is_idempotent() => {
                    self.next_event(&sink).await
                }
                Some(SinkStop::Gone) => RunEvent::CallerGone,
                Some(SinkStop::Stuck) => RunEvent::CallerStalled,
                None => self.next_event(&sink).await,
            };
        }
    }

    /// Waits at the costliest stage's pool before anything runs, so that a request which would
    /// find no place there wastes nothing and is told that it was not run.
    async fn reserve(&self) -> RunEvent {
        let costs = self.stage_costs();
        let costliest = costs.iter().enumerate().max_by_key(|(_, cost)| **cost);
        let Some((position, cost)) = costliest.filter(|(position, _)| *position > 0) else {
            return RunEvent::Start;
        };
        let others = costs.iter().sum::<Duration>() - *cost;
        let deadline = self.scope.deadline.checked_sub(others);
        let deadline = deadline.unwrap_or(self.scope.deadline);
        let pool = &self.run.plan().stages[position].pool;
        let waited = tokio::select! {
            waited = self.scope.wait_place(pool, *cost, deadline) => waited,
            () = self.scope.core.stopped() => return RunEvent::Stopped,
        };
        match waited {
            Ok(place) => {
                let stage = StageIndex::try_from(position).unwrap_or(StageIndex::MAX);
                self.scope.reserved.replace(Some((stage, place)));
                RunEvent::Start
            }
            Err(end) => {
                self.scope.retry_after.replace(Some(end.retry_after));
                RunEvent::NotAdmitted { reason: end.reason }
            }
        }
    }

    fn stage_costs(&self) -> Vec<Duration> {
        let now = Instant::now();
        let mut desk = self.scope.core.stages.borrow_mut();
        let stages = self.run.plan().stages.iter().zip(0..);
        let costs = stages
            .map(|(stage, index)| desk.expected(&self.scope.pipeline, index, stage.min_time, now));
        costs.collect()
    }

    async fn next_event(&mut self, sink: &AnswerSink) -> RunEvent {
        let watched = self.run.plan().is_idempotent();
        let core = &self.scope.core;
        tokio::select! {
            biased;
            () = sink.gone(), if watched => RunEvent::CallerGone,
            () = core.stopped() => RunEvent::Stopped,
            event = self.inbox.recv() => event.unwrap_or(RunEvent::Tick),
            () = actix_rt::time::sleep_until(self.scope.deadline.into()) => RunEvent::Tick,
        }
    }

    fn start_call(&mut self, spec: CallSpec) {
        let attempt = spec.attempt;
        let stage = self.run.plan().stages[usize::from(spec.stage)].clone();
        let call = StageCall::new(&self.scope, stage, spec);
        let task = actix_rt::spawn(call.run());
        self.calls.insert(attempt, CallHandle { task });
    }

    /// Adds to a failure when its caller should come back: never where the answer is final
    /// under its ticket.
    fn complete(&self, report: FailureReport) -> FailureReport {
        if self.spend.is_some() && report.verdict != RunVerdict::NotRun {
            return report;
        }
        match self.scope.retry_after.take() {
            Some(delay) => report.retry_after(delay),
            None => with_delay(report),
        }
    }

    fn end(mut self, end: RunEnd, answer: Option<RecordedAnswer>) {
        let verdict = match &end {
            RunEnd::Whole => None,
            RunEnd::Failed(report) => Some(report.verdict),
        };
        if let (Some(spend), Some(answer)) = (self.spend.take(), answer) {
            spend.finish(answer, verdict);
        }
        self.log_end(&end, verdict);
    }

    fn log_end(&self, end: &RunEnd, verdict: Option<RunVerdict>) {
        let outcome = verdict.map_or(String::from("whole"), |verdict| verdict.to_string());
        let reason = match end {
            RunEnd::Whole => String::new(),
            RunEnd::Failed(report) => report.reason.name(),
        };
        let scope = &self.scope;
        scope.core.metrics.count(&format!("requests.{outcome}"), 1);
        scope
            .core
            .recorder
            .record(EventKind::RequestEnded, |event| {
                event
                    .with_customer(&scope.customer)
                    .with_request(&scope.request)
                    .with_detail(format!("{outcome} {reason}").trim_end())
            });
        info!(scope.core.log, "request";
            "customer" => &scope.customer,
            "request" => &scope.request,
            "pipeline" => &scope.pipeline,
            "stages" => self.run.position() + 1,
            "outcome" => outcome,
            "reason" => reason,
            "ms" => millis(self.arrived.elapsed()),
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
