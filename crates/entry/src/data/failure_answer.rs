use {
    actix_http::{
        Response, StatusCode,
        body::MessageBody,
        header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
    },
    base::{AnswerDigest, DIGEST_HEADER, FailureReason, FailureReport, LENGTH_HEADER},
    once::RecordedAnswer,
    setup::HttpReply,
    std::time::Duration,
};

/// Content type of a failure.
const FAILURE_CONTENT_TYPE: &str = "application/json";
/// Milliseconds per second, as the `retry-after` header counts in seconds.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Returns the HTTP status of a failure.
pub fn failure_status(reason: FailureReason) -> StatusCode {
    match reason {
        FailureReason::BadRequest => StatusCode::BAD_REQUEST,
        FailureReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        FailureReason::UnknownPipeline => StatusCode::NOT_FOUND,
        FailureReason::BadCredential => StatusCode::UNAUTHORIZED,
        FailureReason::TicketMissing => StatusCode::PRECONDITION_REQUIRED,
        FailureReason::TicketInvalid
        | FailureReason::TicketExpired
        | FailureReason::TicketOwnerGone => StatusCode::CONFLICT,
        FailureReason::ShareExceeded | FailureReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        FailureReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        FailureReason::CrashSuspect => StatusCode::UNPROCESSABLE_ENTITY,
        FailureReason::TargetLost
        | FailureReason::TargetFailed
        | FailureReason::AnswerBroken
        | FailureReason::PeerLost => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the delay after which a retry may succeed; `None` if a retry is of no use.
pub fn retry_delay(reason: FailureReason) -> Option<Duration> {
    match reason {
        FailureReason::BadRequest
        | FailureReason::BodyTooLarge
        | FailureReason::UnknownPipeline
        | FailureReason::BadCredential
        | FailureReason::TicketInvalid
        | FailureReason::CrashSuspect
        | FailureReason::DeadlinePassed
        | FailureReason::DeadlineTooShort => None,
        FailureReason::TicketMissing
        | FailureReason::TicketExpired
        | FailureReason::Leaving
        | FailureReason::TargetLost => Some(Duration::ZERO),
        FailureReason::NoSheet | FailureReason::SheetBehind => Some(Duration::from_millis(500)),
        FailureReason::NoTarget => Some(Duration::from_millis(250)),
        FailureReason::TicketOwnerGone => Some(Duration::from_secs(1)),
        _ => Some(Duration::from_millis(100)),
    }
}

/// Adds the retry delay of the failure's reason, unless the failure has a delay already.
pub fn with_retry_delay(report: FailureReport) -> FailureReport {
    match (report.retry_after_ms, retry_delay(report.reason)) {
        (None, Some(delay)) => report.retry_after(delay),
        _ => report,
    }
}

/// Converts a failure to the answer that is recorded under a ticket.
pub fn recorded_failure(report: &FailureReport) -> RecordedAnswer {
    RecordedAnswer {
        status: failure_status(report.reason).as_u16(),
        content_type: String::from(FAILURE_CONTENT_TYPE),
        body: serde_json::to_vec(report).unwrap_or_default(),
    }
}

/// Converts a failure to a reply, without adding a retry delay.
pub fn failure_reply(report: &FailureReport) -> HttpReply {
    let mut reply = recorded_reply(&recorded_failure(report));
    if let Some(delay) = report.retry_after_ms {
        let seconds = delay.div_ceil(MILLIS_PER_SECOND);
        reply
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

/// Converts a failure to a reply with the retry delay of its reason.
pub fn refusal_reply(report: FailureReport) -> HttpReply {
    failure_reply(&with_retry_delay(report))
}

/// Converts a recorded answer to a reply, with length and digest headers.
pub fn recorded_reply(answer: &RecordedAnswer) -> HttpReply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let digest = AnswerDigest::of(&answer.body);
    let mut reply = Response::with_body(status, answer.body.clone().boxed());
    let headers = reply.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    headers.insert(
        HeaderName::from_static(LENGTH_HEADER),
        HeaderValue::from(digest.length()),
    );
    if let Ok(hex) = HeaderValue::from_str(&digest.hex()) {
        headers.insert(HeaderName::from_static(DIGEST_HEADER), hex);
    }
    reply
}
