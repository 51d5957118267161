use {
    crate::{caller::caller_server::build_reply, dialect::AddressQuery, shared::RelayCore},
    actix_http::{Request, StatusCode, body::BoxBody},
    board::{HostRecord, address_sample},
    setup::{HttpReply, text_reply},
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Maximum time for which callers may cache addresses.
const MAX_ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Path of the metrics, on the operators' address.
const METRICS_PATH: &str = "/metrics";

/// Answers the readiness check.
pub async fn answer_ready(core: Rc<RelayCore>, request: Request) -> HttpReply {
    if !core.dialects.caller.is_readiness_query(request.path()) {
        return text_reply(StatusCode::NOT_FOUND, "not found\n");
    }
    match core.is_ready() {
        true => text_reply(StatusCode::OK, "ready\n"),
        false => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

/// Answers with the addresses of the entries that accept requests.
pub async fn answer_addresses(core: Rc<RelayCore>, request: Request) -> HttpReply {
    let path = request.uri().path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let Some(query) = core.dialects.caller.read_address_query(path) else {
        return text_reply(StatusCode::NOT_FOUND, "not found\n");
    };
    let addresses = choose_addresses(&core, &query, Instant::now());
    if addresses.is_empty() {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "no entry is ready\n");
    }
    let ttl = core
        .settings
        .borrow()
        .bounds
        .address_keep
        .min(MAX_ADDRESS_TTL);
    let body = core.dialects.caller.write_addresses(&addresses, ttl);
    let content_type = (String::from("content-type"), b"application/json".to_vec());
    build_reply(&core, 200, &vec![content_type], BoxBody::new(body))
}

/// Answers an operator's request: `GET /metrics`.
pub async fn answer_operator(core: Rc<RelayCore>, request: Request) -> HttpReply {
    match request.path() {
        METRICS_PATH => {
            let dials = i64::try_from(
                core.connections.dial_count() + core.control_connections.dial_count(),
            )
            .unwrap_or(i64::MAX);
            core.metrics.dials.set(dials);
            let open_count = i64::try_from(core.ledger.open_count()).unwrap_or(i64::MAX);
            core.metrics.open_requests.set(open_count);
            let upload_bytes = i64::try_from(core.upload_room.held()).unwrap_or(i64::MAX);
            core.metrics.upload_bytes.set(upload_bytes);
            let answer_bytes = i64::try_from(core.answer_room.held()).unwrap_or(i64::MAX);
            core.metrics.answer_bytes.set(answer_bytes);
            core.client_rooms.update_metrics(&core);
            text_reply(StatusCode::OK, core.metrics.encode_text())
        }
        _ => text_reply(StatusCode::NOT_FOUND, "paths: GET /metrics\n"),
    }
}

/// Returns the addresses of the ready entries that a caller should use.
fn choose_addresses(core: &RelayCore, query: &AddressQuery, now: Instant) -> Vec<SocketAddr> {
    let hosts = core.hosts.borrow();
    let ready_peers = hosts
        .live_peers(now)
        .filter(|record| record.ready && !record.leaving);
    let mut entries: Vec<&HostRecord> = ready_peers.collect();
    if core.is_ready() {
        entries.push(hosts.own_record());
    }
    // One without links to targets serves by way of others, later and at their cost.
    if entries.iter().any(|record| record.reaches_targets) {
        entries.retain(|record| record.reaches_targets);
    }
    let data_centre = query.data_centre.as_deref();
    let mut random = core.random.borrow_mut();
    let chosen = address_sample(entries, data_centre, MAX_ADDRESSES, &mut *random);
    chosen.into_iter().map(|record| record.callers).collect()
}
