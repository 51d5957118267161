use {
    crate::{
        dialect::{ReplyOutcome, TargetRequest},
        link::{CallRepeat, SilenceRule, await_answer, record_call_fault},
        run::{call_slot::CallSlot, relay_run::RelayRun},
        target::{CallFault, CallReply},
    },
    plan::RepeatRule,
    retry::SendFault,
    route::{ServiceOutcome, ServicePick},
    slog::info,
    std::time::{Duration, Instant},
};

/// Part of the time left that is reserved for the answer's way back to the caller.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Sends the request to the picked target and waits for the head of its answer.
///
/// If a stream is resumed, `last_event_id` is the id of the last event that the caller has.
pub async fn send_once(
    run: &RelayRun,
    slot: &mut CallSlot,
    pick: &ServicePick,
    last_event_id: Option<&str>,
) -> Result<CallReply, SendFault> {
    let draft = &run.draft;
    let core = &run.core;
    let inputs = run.inputs();
    let time_left = draft.time_left(Instant::now()).saturating_sub(REPLY_MARGIN);
    let target_request = TargetRequest {
        head: &draft.head,
        target: &pick.target,
        organisation: draft.organisation.as_deref(),
        time_left,
        priority: (!draft.prefixes.is_empty()).then_some(draft.priority),
        inputs: inputs.as_deref(),
        last_event_id,
        fetch_from: pick.fetch_from,
    };
    let mut call = core.dialects.target.write_request(&target_request);
    call.body = draft.body.clone();
    core.budget
        .borrow_mut()
        .on_request(&draft.service, Instant::now());
    let called_at = Instant::now();
    run.open.record_sent();
    let is_bound_later = draft.rule.repeat == RepeatRule::Resumable;
    let on_opened = || {
        if is_bound_later {
            slot.proof.begin();
        }
    };
    let connections = &core.connections;
    let answering = connections.call_and_note(pick.address, call, on_opened);
    let repeat = match (draft.rule.repeat.may_repeat(), draft.is_hop) {
        (false, _) => CallRepeat::Never,
        (true, true) => CallRepeat::Here,
        (true, false) => CallRepeat::Elsewhere,
    };
    let waiting = SilenceRule {
        repeat,
        may_leave: &|| run.may_leave(&pick.target),
    };
    let result = await_answer(core, &pick.target, pick.address, waiting, answering).await;
    let fault = match result {
        Ok(mut reply) => {
            slot.proof.set_opened(reply.opened_at());
            let outcome = read_outcome(run, pick, &mut reply, called_at);
            // Unless the request ran, the connection closes with the reply: the request may come
            // back to this target, where a second copy of the reply would bear the right id.
            match outcome {
                ReplyOutcome::Ran => return Ok(reply),
                ReplyOutcome::NotRun => SendFault::Refused,
                ReplyOutcome::InputsGone => SendFault::InputsGone,
                ReplyOutcome::Misdirected => SendFault::Misdirected,
                ReplyOutcome::Unverified => SendFault::Garbled,
            }
        }
        Err(fault) => {
            record_call_fault(core, &pick.target, &fault);
            match fault {
                CallFault::NotSent(_) => SendFault::NotSent,
                _ => SendFault::Lost,
            }
        }
    };
    slot.set_outcome(fault_outcome(fault));
    if fault == SendFault::Refused {
        slot.pass.set_refused();
    }
    if fault == SendFault::Lost {
        slot.watch.check_crash(draft);
    }
    info!(core.log, "send failed";
        "request" => &draft.head.request_id, "target" => &pick.target,
        "fault" => ?fault, "ms" => slot.elapsed().as_millis() as u64);
    Err(fault)
}

/// Returns what a reply shows of the request, and applies what the target says of itself.
fn read_outcome(
    run: &RelayRun,
    pick: &ServicePick,
    reply: &mut CallReply,
    called_at: Instant,
) -> ReplyOutcome {
    let (core, request_id) = (&run.core, &run.draft.head.request_id);
    let now = Instant::now();
    let is_new = reply.is_on_new_connection();
    let mut link = core.link.borrow_mut();
    match is_new {
        true => link.record_reached(now),
        false => link.record_answer(now),
    }
    drop(link);
    let target = &core.dialects.target;
    let reply_head = target.read_reply(request_id, reply.status, &reply.headers);
    reply.set_idle_timeout(reply_head.keep_alive);
    let outcome = reply_head.proven_outcome(is_new);
    if !reply_head.owner.is_this_call(is_new) {
        info!(core.log, "answer to another request";
            "request" => request_id, "target" => &pick.target, "status" => reply.status,
            "owner" => ?reply_head.owner, "new_connection" => is_new);
        return outcome;
    }
    core.record_notice(&pick.target, reply_head.notice, now);
    if outcome != ReplyOutcome::Misdirected {
        core.record_limit(&pick.target, reply_head.word, called_at);
    }
    outcome
}

/// Returns the outcome that is recorded at the target for a failed send.
pub fn fault_outcome(fault: SendFault) -> ServiceOutcome {
    match fault {
        SendFault::NotSent | SendFault::Misdirected | SendFault::Lost => ServiceOutcome::Lost,
        SendFault::Refused => ServiceOutcome::Refused,
        SendFault::InputsGone => ServiceOutcome::Cancelled,
        SendFault::Garbled | SendFault::Failed | SendFault::TimedOut => ServiceOutcome::Failed,
    }
}
