use {
    crate::{
        caller::{RelayDraft, reply_from},
        dialect::RelayRefusal,
        run::{
            call_place::CallPlace,
            relay_run::RelayRun,
            send_once::{fault_end, send_once},
            stream_pump::StreamPump,
        },
        shared::{RelayCore, RunningPlace},
        target::LinkReply,
    },
    actix_http::body::BoxBody,
    retry::{SendFault, TrackedCall, TrackedCallEnd},
    route::ServiceOutcome,
    setup::{HttpReply, is_process_gone},
    slog::info,
    std::{net::SocketAddr, rc::Rc, time::Instant},
};

/// Longest answer in one piece, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How a send ended that brought an answer.
enum SendEnd {
    /// The answer for the caller.
    Answer(HttpReply),
    /// The target's own failure, which is passed on unless another target does better.
    Failure(HttpReply),
}

/// Runs a request that passed every filter.
///
/// # Errors
///
/// Gives the final refusal.
pub async fn run_request(
    core: &Rc<RelayCore>,
    draft: RelayDraft,
    running: RunningPlace,
) -> Result<HttpReply, RelayRefusal> {
    let mut run = RelayRun::new(core, draft, running);
    loop {
        let due = run.draft.first_due;
        let prepared = tokio::time::timeout_at(due.into(), run.prepare()).await;
        match prepared {
            Ok(prepared) => prepared?,
            Err(_) => return Err(run.late_refusal(false)),
        }
        let (mut place, pick) = run.place()?;
        let target = pick.target.clone();
        let sent = {
            let sending = async {
                let reply = send_once(&run, &mut place, &pick, None).await?;
                Ok::<_, SendFault>(reply)
            };
            tokio::time::timeout_at(due.into(), sending).await
        };
        let reply = match sent {
            Ok(Ok(reply)) => reply,
            Ok(Err(fault)) => {
                drop(place);
                watch_death(&run, &target, pick.address, fault);
                run.on_fault(&target, fault)?;
                continue;
            }
            Err(_) => {
                place.set_end(ServiceOutcome::Failed);
                return Err(run.late_refusal(true));
            }
        };
        if run.draft.rule.streaming && (200..300).contains(&reply.status) {
            return StreamPump::start(run, place, reply).await;
        }
        match finish_answer(&mut run, place, reply).await? {
            Ok(SendEnd::Answer(reply)) => return Ok(reply),
            Ok(SendEnd::Failure(reply)) => match run.on_fault(&target, SendFault::Failed) {
                Ok(()) => continue,
                Err(_) => return Ok(reply),
            },
            Err(fault) => {
                watch_death(&run, &target, pick.address, fault);
                run.on_fault(&target, fault)?;
            }
        }
    }
}

/// Reads an answer in one piece; the outer error is final.
async fn finish_answer(
    run: &mut RelayRun,
    mut place: CallPlace,
    mut reply: LinkReply,
) -> Result<Result<SendEnd, SendFault>, RelayRefusal> {
    place.first_event();
    let due = run.draft.due;
    let read = tokio::time::timeout_at(due.into(), reply.whole(ANSWER_BYTES)).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            place.set_end(fault_end(SendFault::Garbled));
            return Ok(Err(SendFault::Garbled));
        }
        Err(_) => {
            place.set_end(ServiceOutcome::Failed);
            return Err(run.late_refusal(true));
        }
    };
    let failed = reply.status >= 500;
    place.set_end(match failed {
        true => ServiceOutcome::Failed,
        false => ServiceOutcome::Answered,
    });
    log_answer(run, &place, reply.status);
    reply
        .headers
        .retain(|(name, _)| name != "content-length" && name != "keep-alive");
    let answer = reply_from(&run.core, reply.status, &reply.headers, BoxBody::new(body));
    Ok(Ok(match failed {
        true => SendEnd::Failure(answer),
        false => SendEnd::Answer(answer),
    }))
}

/// Writes the line of an answered request.
pub fn log_answer(run: &RelayRun, place: &CallPlace, status: u16) {
    let draft = &run.draft;
    let spent = draft.arrived.elapsed();
    run.core
        .meters
        .requests
        .get_or_create(&[("outcome", status.to_string()), ("reason", String::new())])
        .inc();
    run.core.meters.whole.observe(spent.as_secs_f64());
    info!(run.core.log, "request answered";
        "request" => &draft.head.request,
        "route" => &draft.rule.name,
        "organisation" => &draft.organisation,
        "plan" => draft.plan.version,
        "target" => place.target(),
        "sends" => run.tracker.sends() + 1,
        "status" => status,
        "ms" => spent.as_millis() as u64,
        "target_ms" => place.spent().as_millis() as u64,
        "unread" => place.unread(),
        "fetching" => place.is_fetching(),
    );
}

/// Finds out whether a target that lost a call is dead, which counts against the request.
pub fn watch_death(run: &RelayRun, target: &str, address: SocketAddr, fault: SendFault) {
    if fault != SendFault::Lost {
        return;
    }
    let (core, target) = (Rc::clone(&run.core), target.to_string());
    let fingerprint = run.draft.fingerprint();
    let request = run.draft.head.request.clone();
    actix_rt::spawn(async move {
        if !is_process_gone(address).await {
            return;
        }
        info!(core.log, "target died under a request";
            "request" => request, "target" => &target);
        core.record_crash(fingerprint, &target, Instant::now());
    });
}

/// Records that a request ran to its end at a target.
pub fn record_whole(run: &RelayRun, target: &str) {
    let mut crashes = run.core.crashes.borrow_mut();
    if !crashes.is_empty() {
        let call = TrackedCall {
            fingerprint: run.draft.fingerprint(),
            stage: 0,
            target,
        };
        crashes.finish_call(call, TrackedCallEnd::Whole, Instant::now());
    }
}
