use {
    crate::{
        dialect::HopRequest,
        hop::HopSlot,
        run::RelayRun,
        target::{CallFault, CallReply, keep_alive_timeout},
    },
    retry::SendFault,
    slog::info,
    std::time::{Duration, Instant},
};

/// Part of the time left that is reserved for the answer's way back to the caller.
const REPLY_MARGIN: Duration = Duration::from_millis(10);
/// Interval of checks whether the other entry is still live.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Hands a request over to another entry, as the caller sent it, and waits for the head of the
/// answer. That entry checks and admits it like any other and never hands it on.
///
/// If a stream is resumed, `last_event_id` is the id of the last event that the caller has.
pub async fn send_hop(
    run: &RelayRun,
    slot: &HopSlot,
    last_event_id: Option<&str>,
) -> Result<CallReply, SendFault> {
    let (core, draft) = (&run.core, &run.draft);
    let head = &draft.head;
    let is_resumption = last_event_id.is_some();
    let begun_by = head.resumes.as_ref().unwrap_or(&head.request_id);
    let request = HopRequest {
        head,
        time_left: draft.time_left(Instant::now()).saturating_sub(REPLY_MARGIN),
        last_event_id: last_event_id.or(head.last_event_id.as_deref()),
        resumes: match is_resumption {
            true => Some(begun_by),
            false => head.resumes.as_deref(),
        },
    };
    let mut call = core.dialects.caller.write_hop(&request);
    call.body = draft.body.clone();
    core.metrics.hops.inc();
    info!(core.log, "request handed over"; "request" => &head.request_id, "peer" => slot.host(),
        "after" => last_event_id);
    run.open.record_sent();
    let answering = core.control_connections.call(slot.address(), call);
    tokio::pin!(answering);
    let result = loop {
        tokio::select! {
            result = &mut answering => break result,
            () = actix_rt::time::sleep(PEER_CHECK_INTERVAL) => {}
        }
        if !core.hosts.borrow().is_live(slot.host(), Instant::now()) {
            break Err(CallFault::Broken(String::from("the other entry is silent")));
        }
    };
    let fault = match result {
        Ok(mut reply) => {
            let idle_timeout = keep_alive_timeout(&reply.headers);
            reply.set_idle_timeout(idle_timeout);
            let caller = &core.dialects.caller;
            let owner = caller.read_hop_owner(&head.request_id, &reply.headers);
            if owner.is_this_call(reply.is_on_new_connection()) {
                return Ok(reply);
            }
            SendFault::Garbled
        }
        Err(CallFault::NotSent(_)) => SendFault::NotSent,
        Err(_) => SendFault::Lost,
    };
    info!(core.log, "hand-over failed"; "request" => &head.request_id, "peer" => slot.host(),
        "fault" => ?fault, "ms" => slot.elapsed().as_millis() as u64);
    Err(fault)
}
