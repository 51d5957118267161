use {
    crate::{
        data::{
            AddressAnswer, EntryCore, RequestDraft, RequestHead, entry_core::RunningGuard,
            failure_answer::refusal_reply, head_check::check_head, run_driver::start_run,
        },
        filters::{FilterChain, FilterEnd, has_valid_credential},
        shared::ControlMessage,
    },
    actix_http::{HttpMessage, Method, Request, StatusCode},
    base::{CREDENTIAL_HEADER, FailureReason, FailureReport, RunClaim},
    bytes::Bytes,
    pipe::RunPlan,
    setup::{
        HttpReply, OpenConnection, RequestBody, UploadFault, UploadLimits, close_unread,
        discard_body, follow_reply, json_reply, read_upload, text_reply,
    },
    slog::info,
    std::{rc::Rc, time::Instant},
};

/// Prefix of the path that runs a pipeline.
const RUN_PATH: &str = "/run/";
/// Path that returns the entries to use.
const ADDRESS_PATH: &str = "/addresses";

/// Answers one request of a caller, which counts as running until its reply was written.
pub async fn answer_caller(
    core: Rc<EntryCore>,
    chain: Rc<FilterChain>,
    request: Request,
) -> HttpReply {
    let guard = RunningGuard::start(&core);
    let connection = OpenConnection::of(&request);
    let reply = answer_request(core, chain, request).await;
    match connection {
        Some(connection) => follow_reply(reply, &connection, guard),
        None => reply,
    }
}

async fn answer_request(
    core: Rc<EntryCore>,
    chain: Rc<FilterChain>,
    request: Request,
) -> HttpReply {
    let path = request.path().to_string();
    match (request.method(), path.strip_prefix(RUN_PATH)) {
        (&Method::POST, Some(pipeline)) => run_request(core, chain, pipeline, request).await,
        (&Method::GET, None) if path == ADDRESS_PATH => answer_addresses(&core, &request),
        _ => text_reply(
            StatusCode::NOT_FOUND,
            "paths: GET /addresses, POST /run/{pipeline}\n",
        ),
    }
}

fn answer_addresses(core: &EntryCore, request: &Request) -> HttpReply {
    let query = request.uri().query().unwrap_or("");
    let customer = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("customer="));
    let fleet = core.fleet();
    let Some(sheet) = &fleet.sheet else {
        let report = RunClaim::new().refuse(FailureReason::NoSheet, "no sheet is in force yet");
        return refusal_reply(report);
    };
    let credential = request.headers().get(CREDENTIAL_HEADER);
    let credential = credential
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let customer = customer.unwrap_or("");
    if !has_valid_credential(sheet, customer, credential) {
        core.metrics.count("refused.credential", 1);
        let detail = "customer unknown or credential wrong";
        return refusal_reply(RunClaim::new().refuse(FailureReason::BadCredential, detail));
    }
    json_reply(StatusCode::OK, &AddressAnswer::new(core, &fleet, customer))
}

async fn run_request(
    core: Rc<EntryCore>,
    chain: Rc<FilterChain>,
    pipeline: &str,
    mut request: Request,
) -> HttpReply {
    let arrived_at = Instant::now();
    let head = match RequestHead::read(request.headers()) {
        Ok(head) => head,
        Err(detail) => {
            let reply = refuse(&core, None, FailureReason::BadRequest, detail);
            return close_unread(reply, RequestBody::take(&mut request));
        }
    };
    let limits = UploadLimits {
        bytes: core.settings.limits.body_bytes,
        timeout: core.settings.limits.body_time,
    };
    let mut body = RequestBody::take(&mut request);
    if let Err(refusal) = check_head(&core, &head, pipeline) {
        let is_read = discard_body(&mut body, UploadLimits::DISCARD).await;
        let reply = refuse(&core, Some(&head), refusal.reason, refusal.detail);
        return match is_read {
            true => reply,
            false => close_unread(reply, body),
        };
    }
    let body = match read_upload(&core.upload_room, &mut body, limits).await {
        Ok(upload) => upload.into_bytes(),
        Err(fault) => {
            let reply = refuse_upload(&core, &head, fault);
            return close_unread(reply, body);
        }
    };
    let draft = match build_draft(&core, head, pipeline, body, arrived_at) {
        Ok(draft) => draft,
        Err(reply) => return *reply,
    };
    let head = draft.head.clone();
    // Most of a request's state is that of its run, which it needs only once its body has arrived.
    match Box::pin(chain.apply(&core, draft)).await {
        Ok(draft) => match Box::pin(start_run(&core, draft)).await {
            Ok(reply) => reply,
            Err(_) => lost_run_reply(),
        },
        Err(end) => match *end {
            FilterEnd::Answered(reply) => reply,
            FilterEnd::Refused(report) => {
                log_refusal(&core, Some(&head), &report);
                refusal_reply(report)
            }
        },
    }
}

fn refuse_upload(core: &EntryCore, head: &RequestHead, fault: UploadFault) -> HttpReply {
    let limit = core.settings.limits.body_bytes;
    let (reason, detail) = match fault {
        UploadFault::Unusable => (
            FailureReason::BodyTooLarge,
            format!("the body is truncated, late, or larger than {limit} bytes"),
        ),
        UploadFault::NoRoom => (
            FailureReason::Overloaded,
            String::from("no room for the body"),
        ),
    };
    refuse(core, Some(head), reason, detail)
}

fn build_draft(
    core: &EntryCore,
    head: RequestHead,
    pipeline: &str,
    body: Bytes,
    arrived_at: Instant,
) -> Result<RequestDraft, Box<HttpReply>> {
    let fleet = core.fleet();
    let refuse_with =
        |reason, detail: &str| Err(Box::new(refuse(core, Some(&head), reason, detail)));
    let Some(sheet) = fleet.sheet.clone() else {
        report_seen_sheet(core, &head);
        return refuse_with(FailureReason::NoSheet, "no sheet is in force yet");
    };
    let Some(plan) = RunPlan::new(&sheet, pipeline, head.is_idempotent) else {
        return refuse_with(
            FailureReason::UnknownPipeline,
            "the sheet has no such pipeline",
        );
    };
    let max_duration = sheet.pipelines[pipeline].deadline;
    let remaining = head.remaining.unwrap_or(max_duration).min(max_duration);
    let customer = sheet.customers.get(&head.customer);
    let weight = customer.map_or(1, |customer| customer.weight);
    let highest_priority = customer.map_or(head.priority, |customer| customer.priority);
    let mut head = head;
    // Priorities are ordered from the most urgent on, so the maximum is the less urgent one.
    head.priority = head.priority.max(highest_priority);
    Ok(RequestDraft {
        head,
        pipeline: pipeline.to_string(),
        body,
        arrived_at,
        deadline: arrived_at + remaining,
        sheet,
        plan,
        weight,
        claim: RunClaim::new(),
        spent_ticket: None,
    })
}

/// Reports the sheet version that the caller has seen to the controllers, if it has a valid proof;
/// called while this entry has no sheet.
pub(super) fn report_seen_sheet(core: &EntryCore, head: &RequestHead) {
    let seen = head
        .seen_sheet_text
        .as_deref()
        .and_then(|text| core.sheet_proof.verify(text));
    if let Some(seen) = seen.filter(|seen| seen.is_proved) {
        core.notify_control(ControlMessage::SeenVersion(seen.version));
    }
}

/// Counts and logs a refusal, and returns its reply.
fn refuse(
    core: &EntryCore,
    head: Option<&RequestHead>,
    reason: FailureReason,
    detail: impl Into<String>,
) -> HttpReply {
    let report = RunClaim::new().refuse(reason, detail);
    log_refusal(core, head, &report);
    refusal_reply(report)
}

fn log_refusal(core: &EntryCore, head: Option<&RequestHead>, report: &FailureReport) {
    core.metrics
        .count(&format!("requests.{}", report.verdict), 1);
    core.metrics.count(&format!("refused.{}", report.reason), 1);
    info!(core.log, "request";
        "customer" => head.map(|head| head.customer.clone()),
        "request" => head.map(|head| head.request_id.clone()),
        "stages" => 0,
        "outcome" => report.verdict.to_string(),
        "reason" => report.reason.name(),
    );
}

/// Returns the reply for a run whose task ended without sending a reply, which only a bug of the
/// daemon can cause.
fn lost_run_reply() -> HttpReply {
    let claim = RunClaim::new().into_sent();
    refusal_reply(claim.report_lost(FailureReason::TargetLost, "the run ended without an answer"))
}
