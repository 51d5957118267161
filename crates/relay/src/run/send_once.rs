use {
    crate::{
        dialect::{ReplyStanding, TargetOrder},
        run::{call_place::CallPlace, relay_run::RelayRun},
        target::{LinkFault, LinkReply},
    },
    retry::SendFault,
    route::{ServiceOutcome, ServicePick},
    slog::info,
    std::time::{Duration, Instant},
};

/// Time that the target gets less than the caller waits, for the way back.
const WAY_BACK: Duration = Duration::from_millis(5);

/// Sends the request to the target and waits for the head of its answer.
pub async fn send_once(
    run: &RelayRun,
    place: &mut CallPlace,
    pick: &ServicePick,
    resumes_after: Option<&str>,
) -> Result<LinkReply, SendFault> {
    let draft = &run.draft;
    let core = &run.core;
    let inputs = run.inputs();
    let time_left = draft.time_left(Instant::now()).saturating_sub(WAY_BACK);
    let order = TargetOrder {
        head: &draft.head,
        target: &pick.target,
        organisation: draft.organisation.as_deref(),
        time_left,
        priority: (!draft.chain.is_empty()).then_some(draft.priority),
        inputs: inputs.as_deref(),
        resumes_after,
        fetch_from: pick.fetch_from,
    };
    let mut call = core.dialects.target.write_request(&order);
    call.body = draft.body.clone();
    core.budget
        .borrow_mut()
        .on_request(&draft.service, Instant::now());
    let sent = core.links.call(pick.address, call).await;
    let fault = match sent {
        Ok(mut reply) => {
            let word =
                core.dialects
                    .target
                    .read_reply(&draft.head.request, reply.status, &reply.headers);
            reply.keep_for(word.keep_alive);
            match word.standing {
                ReplyStanding::Ran => return Ok(reply),
                ReplyStanding::Unrun => SendFault::Refused,
                ReplyStanding::InputsGone => SendFault::InputsGone,
                ReplyStanding::OtherTarget => SendFault::Misdirected,
                ReplyStanding::Foreign => SendFault::Garbled,
            }
        }
        Err(LinkFault::NotSent(_)) => SendFault::NotSent,
        Err(_) => SendFault::Lost,
    };
    place.set_end(fault_end(fault));
    info!(core.log, "send failed";
        "request" => &draft.head.request, "target" => &pick.target,
        "fault" => ?fault, "ms" => place.spent().as_millis() as u64);
    Err(fault)
}

/// What a fault says of the target.
pub fn fault_end(fault: SendFault) -> ServiceOutcome {
    match fault {
        SendFault::NotSent | SendFault::Misdirected | SendFault::Lost => ServiceOutcome::Lost,
        SendFault::Refused => ServiceOutcome::Refused,
        SendFault::InputsGone => ServiceOutcome::Cancelled,
        SendFault::Garbled | SendFault::Failed | SendFault::TimedOut => ServiceOutcome::Failed,
    }
}
