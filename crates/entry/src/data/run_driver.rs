use {
    crate::{
        data::{
            AnswerSink, EntryCore, RequestDraft, RunningSpend,
            answer_sink::SinkStop,
            entry_core::RunningPlace,
            target_call::{CallReport, TargetCall, TargetWord},
        },
        shared::ControlNote,
    },
    actix_rt::task::JoinHandle,
    base::{AttemptNumber, CallIdentity, FailureReport, RunVerdict, TargetId},
    once::RecordedAnswer,
    pipe::{CallFailure, CallOrder, RunAction, RunEvent, RunState, UnsentProof},
    setup::HttpReply,
    slog::info,
    std::{
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
    core: Rc<EntryCore>,
    run: RunState,
    spend: Option<RunningSpend>,
    request: RequestLine,
    priority: base::RequestPriority,
    deadline: Instant,
    events: mpsc::Sender<RunEvent>,
    inbox: mpsc::Receiver<RunEvent>,
    calls: HashMap<AttemptNumber, CallHandle>,
    tried: Vec<TargetId>,
    sheet: std::sync::Arc<sheet::FleetSheet>,
    _place: RunningPlace,
}

/// What the log says of a request.
struct RequestLine {
    customer: String,
    request: String,
    pipeline: String,
    arrived: Instant,
}

/// How a run ended.
enum RunEnd {
    Whole,
    Failed(FailureReport),
}

impl RunDriver {
    fn new(core: &Rc<EntryCore>, draft: RequestDraft) -> Self {
        let (events, inbox) = mpsc::channel(CALL_EVENTS);
        Self {
            core: Rc::clone(core),
            run: RunState::new(draft.plan, draft.body, draft.deadline, draft.claim),
            spend: draft.spend.map(|spend| spend.into_running()),
            request: RequestLine {
                customer: draft.head.customer,
                request: draft.head.request,
                pipeline: draft.pipeline,
                arrived: draft.arrived,
            },
            priority: draft.head.priority,
            deadline: draft.deadline,
            events,
            inbox,
            calls: HashMap::new(),
            tried: Vec::new(),
            sheet: draft.sheet,
            _place: RunningPlace::take(core),
        }
    }

    async fn run(mut self, mut sink: AnswerSink) {
        let mut event = RunEvent::Start;
        loop {
            let position = self.run.position();
            let actions = self.run.on_event(event, Instant::now(), || true);
            if self.run.position() != position {
                self.tried.clear();
            }
            let mut stop = None;
            for action in actions {
                match action {
                    RunAction::Call(order) => self.start_call(order),
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
                Some(SinkStop::Stuck) => RunEvent::CallerStuck,
                None => self.next_event(&sink).await,
            };
        }
    }

    async fn next_event(&mut self, sink: &AnswerSink) -> RunEvent {
        let watched = self.run.plan().is_idempotent();
        tokio::select! {
            biased;
            () = sink.gone(), if watched => RunEvent::CallerGone,
            event = self.inbox.recv() => event.unwrap_or(RunEvent::Tick),
            () = actix_rt::time::sleep_until(self.deadline.into()) => RunEvent::Tick,
        }
    }

    fn start_call(&mut self, order: CallOrder) {
        let attempt = order.attempt;
        let stage = self.run.plan().stages[usize::from(order.stage)].clone();
        let fleet = self.core.fleet();
        let sheet = fleet.sheet.as_ref().unwrap_or(&self.sheet);
        let leaving = &fleet.leaving_targets;
        let pick = self
            .core
            .pools
            .borrow_mut()
            .pick(sheet, leaving, &stage.pool, &self.tried);
        let Some(target) = pick else {
            let failure = CallFailure::NoTarget(UnsentProof::no_target());
            let events = self.events.clone();
            let task = actix_rt::spawn(async move {
                let _ = events.send(RunEvent::Failed { attempt, failure }).await;
            });
            self.calls.insert(attempt, CallHandle { task });
            return;
        };
        self.tried.push(target.name.clone());
        let call = TargetCall {
            identity: CallIdentity {
                customer: self.request.customer.clone(),
                request: self.request.request.clone(),
                stage: order.stage,
                attempt,
            },
            address: target.address,
            call: stage.call,
            model: stage.model,
            engine: stage.engine,
            fresh: order.fresh,
            priority: self.priority,
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            resume_at: order.resume_at,
            input: order.input,
        };
        let task = actix_rt::spawn(make_call(
            Rc::clone(&self.core),
            call,
            target.name,
            self.events.clone(),
        ));
        self.calls.insert(attempt, CallHandle { task });
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
        let (outcome, reason) = match end {
            RunEnd::Whole => (String::from("whole"), String::new()),
            RunEnd::Failed(report) => (report.verdict.to_string(), report.reason.name()),
        };
        let name = verdict.map_or(String::from("whole"), |verdict| verdict.to_string());
        self.core.metrics.count(&format!("requests.{name}"), 1);
        let request = &self.request;
        info!(self.core.log, "request";
            "customer" => &request.customer,
            "request" => &request.request,
            "pipeline" => &request.pipeline,
            "stages" => self.run.position() + 1,
            "outcome" => outcome,
            "reason" => reason,
            "ms" => millis(request.arrived.elapsed()),
        );
    }
}

async fn make_call(
    core: Rc<EntryCore>,
    call: TargetCall,
    target: TargetId,
    events: mpsc::Sender<RunEvent>,
) {
    let mut report = CallReport {
        events,
        word: TargetWord::default(),
    };
    call.run(&core.client, &mut report).await;
    if report.word.leaving {
        core.note(ControlNote::TargetLeaving(target));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
