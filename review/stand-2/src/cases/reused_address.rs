//! A replica of a stage's service crashes, and its address goes to a model replica: that must not get
//! calls that nobody sent.

use {
    crate::{
        case_setup::{CaseFleet, CaseVerdict},
        plan_text::{PlanRoute, plan_text},
        stage_replica::StageReplica,
        stand_replica::{ReplicaSpec, StandReplica},
        test_caller::{CallerRequest, ask},
    },
    std::{io, thread, time::Duration},
};

/// Time after which daemons that have started take work for stages.
const CALM_TIME: Duration = Duration::from_secs(5);
/// Time of a call at the service whose replica crashes, and at the other one.
const SHORT_CALL: Duration = Duration::from_millis(200);
const LONG_CALL: Duration = Duration::from_millis(2_900);
/// Time from the request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(700);
/// Time from the crash to the use of the address by another service; at least 2 s.
const REUSE_DELAY: Duration = Duration::from_millis(2_050);
const DEADLINE: Duration = Duration::from_secs(8);
const REQUEST: &str = "00000000000000a1";

/// Runs the case.
pub fn run(fleet: &CaseFleet) -> io::Result<CaseVerdict> {
    fleet.start_replica("models-a", 0, "v1", 20)?;
    let (store, record) = (&fleet.store, &fleet.record);
    let crashing = StageReplica::start(("intake", 0), SHORT_CALL, store, record)?;
    StageReplica::start(("portal", 0), LONG_CALL, store, record)?;
    let route = PlanRoute {
        prefix: "/chat/",
        route_type: "streaming",
        service: "models-a",
        resumes: false,
        timeout_ms: 8_000,
        goal_ms: 8_000,
        stages: &["intake", "portal"],
    };
    let plan = plan_text(1, &[route], &["models-a"], &[], &["key-a"]);
    store.put("op/config", &plan);
    let edges = fleet.start_edges()?;
    record.note("daemons ready");
    thread::sleep(CALM_TIME);
    let address = edges[0].place.callers();
    let caller = thread::spawn(move || ask(address, &staged_request()));
    thread::sleep(CRASH_DELAY);
    if fleet.has_trouble() {
        crashing.crash();
        thread::sleep(REUSE_DELAY);
        let spec = ReplicaSpec {
            id: String::from("i-models-a-1"),
            address: crashing.address,
            service: String::from("models-a"),
            version: String::from("v1"),
            event_interval: Duration::from_millis(20),
            pause: Duration::ZERO,
        };
        StandReplica::start(spec, store, record)?;
        record.note("i-models-a-1 starts at the address of i-intake-0");
    }
    let outcome = caller
        .join()
        .map_err(|_| io::Error::other("the caller failed"))?;
    let (status, whole) = (outcome.status, outcome.is_complete);
    record.note(format!("sent {REQUEST}: status {status}, whole: {whole}"));
    thread::sleep(SHORT_CALL);
    let mut verdict = CaseVerdict::Held;
    for run in record.runs() {
        if run != REQUEST {
            record.note(format!("nobody sent {run}"));
            verdict = CaseVerdict::Broken;
        }
    }
    Ok(verdict)
}

fn staged_request() -> CallerRequest {
    let header = |name: &str, value: &str| (name.to_string(), value.to_string());
    CallerRequest {
        id: String::from(REQUEST),
        path: String::from("/chat/1"),
        key: String::from("key-a"),
        deadline: DEADLINE,
        headers: vec![
            header("X-Model", "m"),
            header("X-Token-Count", "500,5"),
            header("X-Prompt-Prefix", "5c1e07a2:300,91bd3f06:200"),
            header("X-Pieces", "2,1"),
            header("X-Piece-Key", "7c1e07a291bd"),
        ],
    }
}
