//! A daemon gets SIGTERM, and callers that still know its address ask for longer answers than those
//! before: what it takes on, it must finish.

use {
    crate::{
        case_setup::{CaseFleet, CaseVerdict},
        plan_text::{PlanRoute, plan_text},
        test_caller::{CallerOutcome, CallerRequest, ask},
    },
    std::{
        io,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Time between the events of a stream.
const EVENT_MS: u64 = 60;
const SHORT_EVENTS: u32 = 10;
/// 5.4 s; a caller waits for 20 s.
const LONG_EVENTS: u32 = 90;
const DEADLINE: Duration = Duration::from_secs(20);
/// Time for which callers ask before the SIGTERM.
const CALM_TIME: Duration = Duration::from_secs(6);
/// Time between the requests for short answers.
const SHORT_INTERVAL: Duration = Duration::from_millis(100);
/// Requests for long answers are sent at this interval, from one time after the SIGTERM to another.
const LONG_INTERVAL: Duration = Duration::from_millis(25);
const LONG_FROM: Duration = Duration::from_millis(2_000);
const LONG_TO: Duration = Duration::from_millis(3_400);
/// Requests sent later than this after the SIGTERM have no excuse by their replica's work.
const EXCUSED_TIME: Duration = Duration::from_secs(3);

/// Runs the case.
pub fn run(fleet: &CaseFleet) -> io::Result<CaseVerdict> {
    for number in 0..3 {
        fleet.start_replica("models-a", number, "v1", EVENT_MS)?;
    }
    let route = PlanRoute {
        prefix: "/chat/",
        route_type: "streaming",
        service: "models-a",
        resumes: false,
        timeout_ms: 20_000,
        goal_ms: 1_800,
        stages: &[],
    };
    let plan = plan_text(1, &[route], &["models-a"], &[], &["key-a"]);
    fleet.store.put("op/config", &plan);
    let edges = fleet.start_edges()?;
    fleet.record.note("daemons ready");
    let address = edges[0].place.callers();
    let begun = Instant::now();
    let stopped_at = begun + CALM_TIME;
    let short = thread::spawn(move || {
        send_each(
            address,
            "a",
            SHORT_EVENTS,
            begun,
            stopped_at + LONG_FROM,
            SHORT_INTERVAL,
        )
    });
    sleep_until(stopped_at);
    if fleet.has_trouble() {
        edges[0].signal("TERM")?;
        fleet.record.note("SIGTERM to daemon 0");
    }
    let stopped_at = Instant::now();
    let (from, to) = (stopped_at + LONG_FROM, stopped_at + LONG_TO);
    let long = thread::spawn(move || send_each(address, "b", LONG_EVENTS, from, to, LONG_INTERVAL));
    let mut verdict = CaseVerdict::Held;
    for sender in [short, long] {
        let outcomes = sender
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        for (id, outcome) in outcomes {
            let sent_after = outcome
                .sent_at
                .map(|at| at.saturating_duration_since(stopped_at));
            let ended_after = outcome.ended_at.saturating_duration_since(stopped_at);
            let (status, whole) = (outcome.status, outcome.is_complete);
            fleet.record.note(format!(
                "sent {id} at {sent_after:.3?} after the signal: status {status}, whole: {whole}, \
                 ended at {ended_after:.3?}"
            ));
            let is_late = sent_after.is_some_and(|after| after > EXCUSED_TIME);
            if fleet.has_trouble() && is_late && status == 200 && !whole {
                verdict = CaseVerdict::Broken;
            }
        }
    }
    Ok(verdict)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends requests at an interval, each on a connection of its own.
fn send_each(
    address: SocketAddr,
    name: &str,
    events: u32,
    from: Instant,
    to: Instant,
    interval: Duration,
) -> Vec<(String, CallerOutcome)> {
    let mut senders = Vec::new();
    let mut at = from;
    while at < to {
        sleep_until(at);
        let number = senders.len();
        let request = CallerRequest {
            id: format!("{name}{number:015x}"),
            path: String::from("/chat/1"),
            key: String::from("key-a"),
            deadline: DEADLINE,
            headers: vec![
                (String::from("X-Model"), String::from("m")),
                (String::from("X-Token-Count"), format!("500,{events}")),
                (
                    String::from("X-Prompt-Prefix"),
                    format!("5c1e07a2:300,{number:08x}:200"),
                ),
            ],
        };
        senders.push(thread::spawn(move || {
            let outcome = ask(address, &request);
            (request.id, outcome)
        }));
        at += interval;
    }
    let outcomes = senders.into_iter().filter_map(|sender| sender.join().ok());
    outcomes.collect()
}
