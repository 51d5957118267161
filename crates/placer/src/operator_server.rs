use {
    crate::placer_state::PlacerState,
    actix_http::{Method, Request, StatusCode},
    room::RoomCounts,
    setup::{HttpReply, json_reply, text_reply},
    stamp::EventFilter,
};

/// Answers one request to the operators' interface; other paths and methods get a 404.
pub fn answer_operator(
    state: &PlacerState,
    room_counts: &RoomCounts,
    request: &Request,
) -> HttpReply {
    match (request.method(), request.path()) {
        (&Method::GET, "/status") => json_reply(StatusCode::OK, &state.status()),
        (&Method::GET, "/metrics") => {
            let metrics = &state.metrics;
            metrics.gauge("clients.operators.bytes", room_counts.held() as u64);
            metrics.gauge("clients.operators.ended", room_counts.ended());
            metrics.gauge("clients.operators.refused", room_counts.refused());
            json_reply(StatusCode::OK, &metrics.values())
        }
        (&Method::GET, "/timeline") => {
            json_reply(StatusCode::OK, &state.events(&EventFilter::default()))
        }
        _ => text_reply(
            StatusCode::NOT_FOUND,
            "paths: GET /status /metrics /timeline\n",
        ),
    }
}
