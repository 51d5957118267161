use {
    crate::data::{
        EntryCore, RequestDraft, call_reply::is_failed_dial, failure_answer::refusal_reply,
    },
    actix_http::{
        Response,
        body::{BodyStream, BoxBody, MessageBody},
        header::{CONTENT_TYPE, HeaderName},
    },
    awc::error::{ConnectError, SendRequestError},
    base::{
        CREDENTIAL_HEADER, CUSTOMER_HEADER, DIGEST_HEADER, FORWARDED_HEADER, FailureReason,
        IDEMPOTENT_HEADER, LENGTH_HEADER, PRIORITY_HEADER, REMAINING_HEADER, REQUEST_HEADER,
        STREAM_HEADER, TICKET_HEADER,
    },
    futures_util::StreamExt,
    once::TicketBody,
    setup::HttpReply,
    std::{rc::Rc, time::Instant},
};

/// Headers of the other entry's answer that are passed on to the caller.
const RELAYED_HEADERS: [HeaderName; 3] = [
    CONTENT_TYPE,
    HeaderName::from_static(LENGTH_HEADER),
    HeaderName::from_static(DIGEST_HEADER),
];

/// Forwards a request to the entry that minted its ticket and returns that entry's answer. A
/// request that was forwarded already is refused.
pub async fn forward_request(
    core: Rc<EntryCore>,
    draft: RequestDraft,
    ticket: TicketBody,
) -> HttpReply {
    let reason = FailureReason::TicketOwnerGone;
    if draft.head.forwarded_by.is_some() || ticket.host == core.settings.host {
        let report = draft.refuse(reason, "the ticket's incarnation is gone");
        return refusal_reply(
            report
                .with_earlier_may_have_run()
                .with_tickets(core.mint_tickets(1)),
        );
    }
    let remaining = draft.deadline.saturating_duration_since(Instant::now());
    let request = core
        .client
        .fresh
        .post(format!("http://{}/run/{}", ticket.address, draft.pipeline))
        .force_close()
        .insert_header((CUSTOMER_HEADER, draft.head.customer.as_str()))
        .insert_header((CREDENTIAL_HEADER, draft.head.credential.as_str()))
        .insert_header((REQUEST_HEADER, draft.head.request_id.as_str()))
        .insert_header((REMAINING_HEADER, remaining.as_millis().to_string()))
        .insert_header((PRIORITY_HEADER, draft.head.priority.to_string()))
        .insert_header((IDEMPOTENT_HEADER, draft.head.is_idempotent.to_string()))
        .insert_header((STREAM_HEADER, draft.head.is_streaming.to_string()))
        .insert_header((TICKET_HEADER, draft.head.ticket.clone().unwrap_or_default()))
        .insert_header((FORWARDED_HEADER, core.settings.host.as_str()));
    let sending = request.send_body(draft.body.clone());
    let outcome = actix_rt::time::timeout(remaining, sending).await;
    match outcome {
        Ok(Ok(response)) => relay_response(response),
        Ok(Err(SendRequestError::Connect(ConnectError::Io(error))))
            if is_failed_dial(error.kind()) =>
        {
            let report = draft.refuse(reason, "the entry that minted the ticket is unreachable");
            refusal_reply(
                report
                    .with_earlier_may_have_run()
                    .with_tickets(core.mint_tickets(1)),
            )
        }
        _ => {
            let claim = draft.claim.into_sent();
            let report =
                claim.report_lost(FailureReason::PeerLost, "the ticket's entry did not answer");
            refusal_reply(report)
        }
    }
}

fn relay_response<S>(response: awc::ClientResponse<S>) -> HttpReply
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>>
        + Unpin
        + 'static,
{
    let status = response.status();
    let headers = response.headers().clone();
    let chunks = response.map(|chunk| chunk.map_err(|error| error.to_string()));
    let body: BoxBody = BodyStream::new(chunks.map(|chunk| chunk.map_err(RelayError))).boxed();
    let mut reply = Response::with_body(status, body);
    for name in RELAYED_HEADERS {
        if let Some(value) = headers.get(&name) {
            reply.headers_mut().insert(name, value.clone());
        }
    }
    reply
}

/// Error: the other entry's answer was truncated.
#[derive(Debug)]
struct RelayError(String);

impl std::fmt::Display for RelayError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for RelayError {}
