use {
    crate::{caller::caller_server::build_reply, shared::RelayCore},
    actix_http::{Request, StatusCode, body::BoxBody},
    setup::{HttpReply, text_reply},
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time for which callers keep addresses.
const ADDRESS_KEEP: Duration = Duration::from_secs(2);
/// Entries in one answer.
const ADDRESSES: usize = 64;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers whether this process takes requests.
pub async fn answer_ready(core: Rc<RelayCore>, request: Request) -> HttpReply {
    if !core.dialects.caller.is_readiness_query(request.path()) {
        return text_reply(StatusCode::NOT_FOUND, "not found\n");
    }
    match core.is_ready() {
        true => text_reply(StatusCode::OK, "ready\n"),
        false => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Answers which entries a caller may use.
pub async fn answer_addresses(core: Rc<RelayCore>, request: Request) -> HttpReply {
    if !core.dialects.caller.is_address_query(request.path()) {
        return text_reply(StatusCode::NOT_FOUND, "not found\n");
    }
    let addresses = ready_entries(&core, Instant::now());
    if addresses.is_empty() {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "no entry is ready\n");
    }
    let keep = core.settings.borrow().bounds.address_keep.min(ADDRESS_KEEP);
    let body = core.dialects.caller.write_addresses(&addresses, keep);
    let kind = (String::from("content-type"), b"application/json".to_vec());
    build_reply(&core, 200, &vec![kind], BoxBody::new(body))
}

/// Answers operators.
pub async fn answer_operator(core: Rc<RelayCore>, request: Request) -> HttpReply {
    match request.path() {
        METRICS_PATH => {
            let dials = i64::try_from(core.connections.dial_count()).unwrap_or(i64::MAX);
            core.metrics.dials.set(dials);
            text_reply(StatusCode::OK, core.metrics.encode_text())
        }
        _ => text_reply(StatusCode::NOT_FOUND, "paths: GET /metrics\n"),
    }
}

fn ready_entries(core: &RelayCore, now: Instant) -> Vec<SocketAddr> {
    let board = core.hosts.borrow();
    let ready = board
        .live_peers(now)
        .filter(|record| record.ready && !record.leaving);
    let mut addresses: Vec<_> = ready.map(|record| record.callers).collect();
    if core.is_ready() {
        addresses.push(board.own_record().callers);
    }
    addresses.truncate(ADDRESSES);
    addresses
}
