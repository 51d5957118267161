use {
    crate::data::target_call::ReportedState,
    actix_http::header::HeaderMap,
    awc::{
        ClientResponse,
        error::{ConnectError, SendRequestError},
    },
    base::{
        ATTEMPT_HEADER, CUSTOMER_HEADER, CallIdentity, LEAVING_HEADER, LOAD_HEADER, NOT_RUN_HEADER,
        REQUEST_HEADER, STAGE_HEADER,
    },
    pipe::{CallFailure, NotRunProof},
    std::{io::ErrorKind, str::FromStr},
};

/// Classifies an error of sending. Only a failed dial proves that nothing was sent: a pooled
/// connection that breaks may have carried the call.
pub(super) fn send_failure(error: SendRequestError) -> CallFailure {
    match error {
        SendRequestError::Connect(ConnectError::Io(error)) if is_failed_dial(error.kind()) => {
            CallFailure::NotSent(NotRunProof::dial_failed())
        }
        _ => CallFailure::Lost,
    }
}

/// Returns true for errors that occur only while a connection is established.
pub fn is_failed_dial(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

pub(super) fn status_failure<S>(response: &ClientResponse<S>) -> CallFailure {
    match parse_header::<bool>(response.headers(), NOT_RUN_HEADER) {
        Some(true) => CallFailure::Refused(NotRunProof::target_refused()),
        _ => CallFailure::Errored,
    }
}

pub(super) fn reported_state(headers: &HeaderMap) -> ReportedState {
    ReportedState {
        load: parse_header(headers, LOAD_HEADER),
        is_leaving: parse_header(headers, LEAVING_HEADER).unwrap_or(false),
    }
}

pub(super) fn header_identity(headers: &HeaderMap) -> Option<CallIdentity> {
    Some(CallIdentity {
        customer: parse_header(headers, CUSTOMER_HEADER)?,
        request: parse_header(headers, REQUEST_HEADER)?,
        stage: parse_header(headers, STAGE_HEADER)?,
        attempt: parse_header(headers, ATTEMPT_HEADER)?,
    })
}

pub(super) fn parse_header<T: FromStr>(headers: &HeaderMap, header: &str) -> Option<T> {
    headers.get(header)?.to_str().ok()?.parse().ok()
}
