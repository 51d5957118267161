use {
    crate::{
        caller::{RelayDraft, build_reply},
        dialect::RelayRefusal,
        drain::needed_time,
        ledger::{OpenRequest, RequestEnd, RequestPlace},
        memory::SlicedBody,
        origin::bind_resumption,
        run::{
            answer_source::AnswerSource,
            call_slot::CallSlot,
            relay_run::RelayRun,
            send_next::{SendAnswer, SendFailure, send_next},
            send_once::fault_outcome,
            stream_pump::StreamPump,
        },
        shared::RelayCore,
        target::CallReply,
    },
    base::{FailureReason, RunVerdict},
    retry::SendFault,
    route::ServiceOutcome,
    setup::HttpReply,
    slog::info,
    std::{rc::Rc, time::Instant},
};

/// Statuses of answers that promise the caller that the request was not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Outcome of a send that was answered.
enum SendOutcome {
    /// The answer for the caller.
    Answer(HttpReply),
    /// The target's own failure, which is passed on to the caller if there is no further send.
    Failure(HttpReply),
}

/// Runs a request that passed the filters: runs its stages, then sends it to targets until one
/// answers.
///
/// # Errors
///
/// Returns the refusal if no target answered.
pub async fn run_request(
    core: &Rc<RelayCore>,
    mut draft: RelayDraft,
    open: Rc<OpenRequest>,
) -> Result<HttpReply, RelayRefusal> {
    open.set_needed_time(needed_time(core, &draft, Instant::now()));
    bind_resumption(core, &mut draft).await?;
    let mut run = RelayRun::new(core, draft, open);
    loop {
        let due = run.draft.first_event_deadline;
        let (source, reply) = match send_next(&mut run, due, None).await? {
            Ok(SendAnswer { source, reply }) => (source, reply),
            Err(SendFailure { place, fault }) => {
                run.on_fault(&place, fault)?;
                continue;
            }
        };
        if run.draft.rule.streaming && (200..300).contains(&reply.status) {
            return StreamPump::start(run, source, reply).await;
        }
        let place = source.name().to_string();
        match read_answer(&mut run, source, reply).await? {
            Ok(SendOutcome::Answer(reply)) => return Ok(reply),
            Ok(SendOutcome::Failure(reply)) => match run.on_fault(&place, SendFault::Failed) {
                Ok(()) => continue,
                Err(_) => return Ok(reply),
            },
            Err(fault) => run.on_fault(&place, fault)?,
        }
    }
}

/// Reads an answer that is not streamed. The inner error is a fault after which the request may be
/// sent again, the outer one the final refusal.
async fn read_answer(
    run: &mut RelayRun,
    mut source: AnswerSource,
    mut reply: CallReply,
) -> Result<Result<SendOutcome, SendFault>, RelayRefusal> {
    source.record_event();
    let due = run.draft.deadline;
    let waits_since = Instant::now();
    let taking = run.core.answer_room.take(&reply.headers);
    let Ok(lease) = tokio::time::timeout_at(due.into(), taking).await else {
        // The target has answered: the wait says nothing of it.
        return Err(run.deadline_refusal(true));
    };
    source.exclude_wait(waits_since.elapsed());
    let reading = async { lease?.read(&mut reply).await };
    let read_result = tokio::time::timeout_at(due.into(), reading).await;
    let body = match read_result {
        Ok(Ok(body)) if !is_cut_short(run, &reply, &body) => body,
        Ok(_) => {
            source.set_outcome(fault_outcome(SendFault::Garbled));
            source.check_crash(&run.draft);
            return Ok(Err(SendFault::Garbled));
        }
        Err(_) => {
            source.set_outcome(ServiceOutcome::Failed);
            return Err(run.deadline_refusal(true));
        }
    };
    if source.slot().is_none() {
        check_promise(run, reply.status)?;
    } else if is_false_promise(run, reply.status) {
        info!(run.core.log, "status of a target not passed on";
            "request" => &run.draft.head.request_id, "target" => source.name(),
            "status" => reply.status);
        source.set_outcome(ServiceOutcome::Failed);
        return Ok(Err(SendFault::Failed));
    }
    let has_failed = reply.status >= 500;
    if !has_failed {
        source.record_survival();
        if source.slot().is_some() {
            record_completion(run);
        }
    }
    source.set_outcome(match has_failed {
        true => ServiceOutcome::Failed,
        false => ServiceOutcome::Answered,
    });
    log_answer(run, &source, reply.status);
    reply
        .headers
        .retain(|(name, _)| name != "content-length" && name != "keep-alive");
    let answer = build_reply(&run.core, reply.status, &reply.headers, body);
    // Another entry has done all that can be done before it passes a failure on.
    Ok(Ok(match has_failed && source.slot().is_some() {
        true => SendOutcome::Failure(answer),
        false => SendOutcome::Answer(answer),
    }))
}

/// Returns true if an engine's answer that ends with its connection has ended before it began.
fn is_cut_short(run: &RelayRun, reply: &CallReply, body: &SlicedBody) -> bool {
    let is_from_engine = !run.draft.prefixes.is_empty();
    is_from_engine && reply.ends_with_connection && body.is_empty()
}

/// Returns true if a target that does not say that it ran nothing answers a request that may run once
/// only with a status that would promise this to the caller.
fn is_false_promise(run: &RelayRun, status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status) && !run.draft.rule.repeat.may_repeat()
}

/// Refuses a request if another entry's answer promises that it was not run, while a target that
/// this entry has called before may have run it.
fn check_promise(run: &RelayRun, status: u16) -> Result<(), RelayRefusal> {
    if !NOT_RUN_STATUSES.contains(&status) || run.tracker.verdict() == RunVerdict::NotRun {
        return Ok(());
    }
    let detail = format!("another entry refused the repeat with status {status}");
    let refusal = RelayRefusal::not_run(FailureReason::TargetLost, detail);
    Err(run.with_verdict(refusal))
}

/// Logs an answered request and counts it in the metrics. It ends once its answer was written.
pub fn log_answer(run: &RelayRun, source: &AnswerSource, status: u16) {
    run.open.set_place(RequestPlace::Writing);
    run.open.set_end(RequestEnd::Answered);
    let draft = &run.draft;
    let elapsed = draft.arrived.elapsed();
    run.core
        .run_times
        .borrow_mut()
        .record(&draft.rule.name, source.elapsed());
    run.core
        .metrics
        .requests
        .get_or_create(&[("outcome", status.to_string()), ("reason", String::new())])
        .inc();
    run.core.metrics.whole_answer.observe(elapsed.as_secs_f64());
    info!(run.core.log, "request answered";
        "request" => &draft.head.request_id,
        "route" => &draft.rule.name,
        "organisation" => &draft.organisation,
        "plan" => draft.plan.version,
        "target" => source.slot().map(CallSlot::target),
        "version" => source.version(),
        "by_way_of" => source.slot().is_none().then(|| source.name()),
        "sends" => run.tracker.sends() + 1,
        "status" => status,
        "ms" => elapsed.as_millis() as u64,
        "target_ms" => source.elapsed().as_millis() as u64,
        "unread" => source.slot().map(CallSlot::unread_tokens),
        "fetching" => source.slot().is_some_and(CallSlot::is_fetching),
    );
}

/// Records that a target has answered a request whole, which clears it of crashes that happened while
/// targets ran it.
pub fn record_completion(run: &RelayRun) {
    let is_accused_any = run.core.parts.borrow().has_accused();
    if is_accused_any {
        run.core.record_request_answers(&[run.draft.request_key()]);
    }
}
