use {
    crate::{
        caller::{
            RelayDraft,
            head_check::{check_head, find_route},
        },
        dialect::{HeaderList, RelayRefusal},
        drain::until_exit_limit,
        filters::FilterChain,
        ledger::{OpenRequest, RequestEnd, RequestGuard, RequestPlace},
        memory::CallBody,
        run::run_request,
        shared::RelayCore,
        tasks::{PanicCaught, catch_panic},
    },
    actix_http::{
        ConnectionType, HttpMessage, Request, Response, StatusCode,
        body::{BoxBody, MessageBody},
        header::{HeaderName, HeaderValue},
    },
    base::{FailureReason, RunVerdict},
    rand::Rng,
    room::UPLOAD_TIMEOUT,
    setup::{
        HttpReply, OpenConnection, RequestBody, UploadFault, UploadLimits, close_unread,
        discard_body, follow_reply, read_upload,
    },
    slog::{info, warn},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after which a caller should retry if there was no room for the body of its request.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum length of a request's body: 4 MiB and a margin of 64 KiB.
const UPLOAD_LIMITS: UploadLimits = UploadLimits {
    bytes: 4 * 1024 * 1024 + 64 * 1024,
    timeout: UPLOAD_TIMEOUT,
};
/// Time after which a caller should retry if a fault of this entry has ended its request.
const PANIC_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Who has sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSender {
    Caller,
    /// Another entry, which has no links to targets.
    Peer,
}

/// Answers one request of a caller, which may have come by way of another entry. The request is open
/// until the answer was written.
pub async fn answer_caller(
    core: Rc<RelayCore>,
    chain: Rc<FilterChain>,
    sender: RequestSender,
    request: Request,
) -> HttpReply {
    let connection = OpenConnection::of(&request);
    let mut guard = RequestGuard::open(&core, Instant::now());
    let open = Rc::clone(guard.request());
    let answering = answer_request(&core, &chain, sender, request, &mut guard);
    let reply = tokio::select! {
        biased;
        reply = catch_panic(answering) => {
            reply.unwrap_or_else(|PanicCaught| refuse_after_panic(&core, &open))
        }
        refusal = until_exit_limit(&core, &open) => refuse(&core, &open, refusal),
    };
    match connection {
        Some(connection) => follow_reply(reply, &connection, guard),
        None => reply,
    }
}

async fn answer_request(
    core: &Rc<RelayCore>,
    chain: &FilterChain,
    sender: RequestSender,
    mut request: Request,
    guard: &mut RequestGuard,
) -> HttpReply {
    let open = Rc::clone(guard.request());
    let arrived = open.arrived();
    let headers = read_headers(&request);
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let method = request.method().as_str();
    let head = match core.dialects.caller.read_head(method, path, headers) {
        Ok(head) => head,
        Err(fault) => {
            let detail = fault.to_string();
            let refusal = RelayRefusal::not_run(FailureReason::BadRequest, detail);
            return close_unread(
                refuse(core, &open, refusal),
                RequestBody::take(&mut request),
            );
        }
    };
    open.set_id(&head.request_id);
    let mut body = RequestBody::take(&mut request);
    if let Err(refusal) = check_head(core, &head) {
        if discard_body(&mut body, UploadLimits::DISCARD).await {
            guard.record_read();
            return refuse(core, &open, refusal);
        }
        return close_unread(refuse(core, &open, refusal), body);
    }
    let body = match read_upload(&core.upload_room, &mut body, UPLOAD_LIMITS).await {
        Ok(upload) => CallBody::uploaded(upload),
        Err(fault) => {
            let refusal = refuse_upload(core, fault);
            return close_unread(refuse(core, &open, refusal), body);
        }
    };
    guard.record_read();
    let mut draft = match create_draft(core, head, body, arrived) {
        Ok(draft) => draft,
        Err(refusal) => return refuse(core, &open, refusal),
    };
    if sender == RequestSender::Peer {
        core.metrics.taken_hops.inc();
        draft.is_hop = true;
    }
    let draft = match chain.apply(core, draft) {
        Ok(draft) => draft,
        Err(refusal) => return refuse(core, &open, refusal),
    };
    // Most of a request's state is that of its run, which it needs only once its body has arrived.
    match Box::pin(run_request(core, draft, Rc::clone(&open))).await {
        Ok(reply) => reply,
        Err(refusal) => refuse(core, &open, refusal),
    }
}

/// Refuses a request whose handling has panicked.
fn refuse_after_panic(core: &RelayCore, request: &OpenRequest) -> HttpReply {
    let detail = format!(
        "a fault of this entry, the request was at {}",
        request.place()
    );
    let verdict = request.verdict();
    let refusal = RelayRefusal {
        verdict,
        retry_after: (verdict == RunVerdict::NotRun).then_some(PANIC_RETRY_DELAY),
        ..RelayRefusal::not_run(FailureReason::InternalFault, detail)
    };
    let mut reply = refuse(core, request, refusal);
    request.set_end(RequestEnd::Panicked);
    // Its body may not have been read to the end.
    reply.head_mut().set_connection_type(ConnectionType::Close);
    reply
}

fn refuse_upload(core: &RelayCore, fault: UploadFault) -> RelayRefusal {
    match fault {
        UploadFault::Unusable => RelayRefusal::not_run(
            FailureReason::BodyTooLarge,
            "body truncated, too slow or too long",
        ),
        UploadFault::NoRoom => {
            core.metrics.uploads_refused.inc();
            let refusal = RelayRefusal::not_run(FailureReason::Overloaded, "no room for the body");
            refusal.retry_after(NO_ROOM_RETRY_DELAY)
        }
    }
}

fn create_draft(
    core: &RelayCore,
    head: crate::dialect::CallerHead,
    body: CallBody,
    arrived: Instant,
) -> Result<RelayDraft, RelayRefusal> {
    let (plan, rule) = find_route(core, &head)?;
    let draw = core.random.borrow_mut().random();
    RelayDraft::new(head, body, &plan, &rule, arrived, draw)
}

fn refuse(core: &RelayCore, request: &OpenRequest, refusal: RelayRefusal) -> HttpReply {
    request.set_place(RequestPlace::Writing);
    request.set_end(RequestEnd::Refused);
    let reason = refusal.reason.name();
    core.metrics
        .requests
        .get_or_create(&[("outcome", refusal.verdict.to_string()), ("reason", reason)])
        .inc();
    info!(core.log, "request refused";
        "request" => request.id(),
        "verdict" => refusal.verdict.to_string(),
        "reason" => refusal.reason.name(),
        "detail" => &refusal.detail,
        "retry_ms" => refusal.retry_after.map(|delay| delay.as_millis() as u64),
    );
    let (status, headers, body) = core.dialects.caller.write_refusal(&request.id(), &refusal);
    build_reply(core, status, &headers, BoxBody::new(body))
}

/// Creates a reply to a caller. Headers that are not valid are left out. While the process is
/// leaving, the reply closes the connection, so that the caller goes to another entry.
pub fn build_reply(
    core: &RelayCore,
    status: u16,
    headers: &HeaderList,
    body: impl MessageBody + 'static,
) -> HttpReply {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut reply = Response::with_body(status, body.boxed());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        match (name, value) {
            (Ok(name), Ok(value)) => reply.headers_mut().append(name, value),
            (name, _) => warn!(core.log, "header not passed on"; "name" => ?name),
        }
    }
    if core.phase.get() == crate::shared::RelayPhase::Leaving {
        reply.head_mut().set_connection_type(ConnectionType::Close);
    }
    reply
}

fn read_headers(request: &Request) -> HeaderList {
    let headers = request.headers().iter();
    headers
        .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
        .collect()
}
