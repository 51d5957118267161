//! A daemon is stopped and started again, as in a rolling restart; a replica is silent for a moment in
//! the middle of a stream. The daemon must not end the answer for that.

use {
    crate::{
        case_setup::{CaseFleet, CaseVerdict},
        plan_text::{PlanRoute, plan_text},
        test_caller::{CallerRequest, ask},
    },
    std::{
        io, thread,
        time::{Duration, Instant},
    },
};

const EVENT_MS: u64 = 60;
/// A caller waits 2 s for the next event.
const PAUSE_MS: u64 = 1_300;
const EVENTS: u32 = 20;
const DEADLINE: Duration = Duration::from_secs(10);
/// Time for which the daemons have run before the stop: longer than the window of the retry budget.
const CALM_TIME: Duration = Duration::from_secs(12);
/// Time after the SIGTERM until which it counts: the grace time and 1 s.
const PLANNED_TIME: Duration = Duration::from_secs(9);
const CALLER_COUNT: usize = 4;
const SEND_INTERVAL: Duration = Duration::from_millis(300);

/// Runs the case.
pub fn run(fleet: &CaseFleet) -> io::Result<CaseVerdict> {
    for number in 0..3 {
        fleet.start_pausing_replica("models-a", number, "v1", (EVENT_MS, PAUSE_MS))?;
    }
    let route = PlanRoute {
        prefix: "/chat/",
        route_type: "streaming",
        service: "models-a",
        resumes: true,
        timeout_ms: 10_000,
        goal_ms: 500,
        stages: &[],
    };
    let plan = plan_text(1, &[route], &["models-a"], &[], &["key-a"]);
    fleet.store.put("op/config", &plan);
    let mut edges = fleet.start_edges()?;
    fleet.record.note("daemons ready");
    thread::sleep(CALM_TIME);
    let stopped_at = Instant::now();
    if fleet.has_trouble() {
        edges[0].signal("TERM")?;
        fleet.record.note("SIGTERM to daemon 0");
        edges[0].await_end_and_restart()?;
        edges[0].await_ready()?;
        fleet.record.note("daemon 0 is ready again");
    }
    let address = edges[0].place.callers();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            thread::sleep(SEND_INTERVAL);
            let request = stream_request(number);
            thread::spawn(move || (ask(address, &request), request))
        })
        .collect();
    let mut verdict = CaseVerdict::Held;
    for caller in callers {
        let (outcome, request) = caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        let after = |at: Instant| at.saturating_duration_since(stopped_at);
        let (sent, ended) = (outcome.sent_at.map(after), after(outcome.ended_at));
        let (id, status, whole) = (&request.id, outcome.status, outcome.is_complete);
        fleet.record.note(format!(
            "sent {id} at {sent:.3?} after the signal: status {status}, whole: {whole}, \
             ended at {ended:.3?}"
        ));
        let is_planned = fleet.has_trouble() && ended < PLANNED_TIME;
        if is_planned && status == 200 && !whole {
            verdict = CaseVerdict::Broken;
        }
    }
    Ok(verdict)
}

fn stream_request(number: usize) -> CallerRequest {
    CallerRequest {
        id: format!("{number:016x}"),
        path: String::from("/chat/1"),
        key: String::from("key-a"),
        deadline: DEADLINE,
        headers: vec![
            (String::from("X-Model"), String::from("m")),
            (String::from("X-Token-Count"), format!("500,{EVENTS}")),
            (
                String::from("X-Prompt-Prefix"),
                format!("5c1e07a2:300,{number:08x}:200"),
            ),
        ],
    }
}
