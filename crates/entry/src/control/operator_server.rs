use {
    crate::{
        control::{ControlState, MemberController, SheetController, SheetNotice},
        shared::EntryPhase,
    },
    actix_http::{HttpMessage, Method, Request, StatusCode},
    base::{SHEET_HEADER, TargetId},
    serde::Serialize,
    setup::{HttpReply, json_reply, text_reply},
    stamp::EventFilter,
    std::{collections::BTreeMap, rc::Rc},
    wire::MarkSource,
};

/// Controllers that the requests of operators read and change.
pub struct OperatorContext {
    state: Rc<ControlState>,
    members: Rc<MemberController>,
    sheets: Rc<SheetController>,
}

impl OperatorContext {
    pub fn new(
        state: &Rc<ControlState>,
        members: &Rc<MemberController>,
        sheets: &Rc<SheetController>,
    ) -> Self {
        Self {
            state: Rc::clone(state),
            members: Rc::clone(members),
            sheets: Rc::clone(sheets),
        }
    }
}

/// Body of the answer to `GET /status`.
#[derive(Debug, Clone, Serialize)]
struct StatusAnswer {
    host: String,
    incarnation: u64,
    life: EntryPhase,
    sheet_version: u64,
    sheet_digest: String,
    latest_version: u64,
    hosts: Vec<String>,
    leaving_targets: Vec<TargetId>,
    peer_strikes: u32,
    counters: BTreeMap<String, i64>,
}

/// Answers one request to the operators' HTTP interface.
pub async fn answer_operator(context: Rc<OperatorContext>, request: Request) -> HttpReply {
    let path = request.path().to_string();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let state = &context.state;
    observe_sheet_version(state, &request);
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["status"]) => status_reply(state),
        (&Method::GET, ["members"]) => json_reply(StatusCode::OK, &context.members.members()),
        (&Method::GET, ["hosts"]) => json_reply(StatusCode::OK, &state.view.borrow().entries),
        (&Method::GET, ["sheet"]) => sheet_reply(&context),
        (&Method::GET, ["metrics"]) => json_reply(StatusCode::OK, &state.metrics.values()),
        (&Method::GET, ["timeline"]) => timeline_reply(state, &request),
        (&Method::POST, ["drain"]) => {
            state.start_shutdown();
            status_reply(state)
        }
        (&Method::POST, ["targets", target, "leaving"]) => {
            context
                .members
                .mark_target_leaving(target, MarkSource::Operator);
            status_reply(state)
        }
        (&Method::POST, ["targets", target, "live"]) => {
            context.members.clear_target_leaving(target);
            status_reply(state)
        }
        _ => text_reply(
            StatusCode::NOT_FOUND,
            "paths: GET /status /members /hosts /sheet /metrics /timeline, POST /drain \
             /targets/{name}/leaving /targets/{name}/live\n",
        ),
    }
}

/// Reads the latest sheet version that an engine has seen, which a placer passes on in a header. It
/// needs no proof, unlike that of a caller, since only operators can reach this interface.
fn observe_sheet_version(state: &ControlState, request: &Request) {
    let seen = request.headers().get(SHEET_HEADER);
    let version = seen.and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(version) = version {
        state.notify_sheet_controller(SheetNotice::SeenVersion(version));
    }
}

fn status_reply(state: &ControlState) -> HttpReply {
    let view = state.view.borrow();
    let digest = view.sheet.as_ref().map(|sheet| sheet.index.digest());
    let answer = StatusAnswer {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        life: view.phase,
        sheet_version: view.version(),
        sheet_digest: digest.unwrap_or_default(),
        latest_version: view.latest_version,
        hosts: view.entries.iter().map(|row| row.host.clone()).collect(),
        leaving_targets: view.leaving_targets.iter().cloned().collect(),
        peer_strikes: view.strikes.iter().map(|row| u32::from(row.strikes)).sum(),
        counters: state.metrics.values(),
    };
    json_reply(StatusCode::OK, &answer)
}

fn sheet_reply(context: &OperatorContext) -> HttpReply {
    match context.sheets.bundle() {
        Some(bundle) => json_reply(StatusCode::OK, bundle.as_ref()),
        None => text_reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "no sheet is in force yet\n",
        ),
    }
}

fn timeline_reply(state: &ControlState, request: &Request) -> HttpReply {
    let query = request.uri().query().unwrap_or("");
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| value.to_string())
    };
    let filter = EventFilter {
        request: value("request"),
        customer: value("customer"),
    };
    json_reply(StatusCode::OK, &state.recorder.select(&filter))
}
