use {
    crate::{
        dialect::{ReplyOutcome, TargetRequest},
        link::{CallRepeat, await_answer, record_call_fault},
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
    let result = await_answer(core, &pick.target, pick.address, repeat, answering).await;
    let fault = match result {
        Ok(mut reply) => {
            slot.proof.set_opened(reply.opened_at());
            let mut link = core.link.borrow_mut();
            match reply.is_on_new_connection() {
                true => link.record_reached(Instant::now()),
                false => link.record_answer(Instant::now()),
            }
            drop(link);
            let reply_head = core.dialects.target.read_reply(
                &draft.head.request_id,
                reply.status,
                &reply.headers,
            );
            reply.set_idle_timeout(reply_head.keep_alive);
            core.record_notice(&pick.target, reply_head.notice, Instant::now());
            if reply_head.outcome != ReplyOutcome::Misdirected {
                core.record_limit(&pick.target, reply_head.word, called_at);
            }
            match reply_head.outcome {
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

/// Returns the outcome that is recorded at the target for a failed send.
pub fn fault_outcome(fault: SendFault) -> ServiceOutcome {
    match fault {
        SendFault::NotSent | SendFault::Misdirected | SendFault::Lost => ServiceOutcome::Lost,
        SendFault::Refused => ServiceOutcome::Refused,
        SendFault::InputsGone => ServiceOutcome::Cancelled,
        SendFault::Garbled | SendFault::Failed | SendFault::TimedOut => ServiceOutcome::Failed,
    }
}
