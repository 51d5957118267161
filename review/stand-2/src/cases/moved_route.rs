//! A route moves to another service, and a daemon dies right after: callers take up their streams at
//! another daemon, as the pages allow, and must not get the rest from the other service's software.

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

const SERVICES: [&str; 2] = ["models-a", "models-b"];
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Time between the events of a stream.
const EVENT_MS: u64 = 100;
/// Events of a stream.
const EVENTS: u32 = 40;
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Time for which the daemons have served before the route moves.
const CALM_TIME: Duration = Duration::from_secs(20);
/// Time from the begin of the streams to the new configuration.
const CHANGE_DELAY: Duration = Duration::from_millis(1_000);
/// Time from its confirmation to the end of the daemon.
const KILL_DELAY: Duration = Duration::from_millis(390);
const CALLER_COUNT: u32 = 8;

/// Runs the case.
pub fn run(fleet: &CaseFleet) -> io::Result<CaseVerdict> {
    for (service, version) in SERVICES.into_iter().zip(VERSIONS) {
        for number in 0..2 {
            fleet.start_replica(service, number, version, EVENT_MS)?;
        }
    }
    fleet.store.put("op/config", &plan(1, SERVICES[0]));
    let mut edges = fleet.start_edges()?;
    fleet.record.note("daemons ready");
    thread::sleep(CALM_TIME);
    let (first, second) = (edges[0].place.callers(), edges[1].place.callers());
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| thread::spawn(move || read_stream(first, second, number)))
        .collect();
    thread::sleep(CHANGE_DELAY);
    fleet.store.put("op/config", &plan(2, SERVICES[1]));
    fleet
        .record
        .note("configuration 2 confirmed: the route goes to models-b");
    thread::sleep(KILL_DELAY);
    if fleet.has_trouble() {
        edges[0].kill();
        fleet.record.note("daemon 0 killed");
    }
    let mut verdict = CaseVerdict::Held;
    for caller in callers {
        let stream = caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        for line in &stream.lines {
            fleet.record.note(line);
        }
        let versions = stream.versions();
        let text = format!(
            "caller {}: {} pieces of {versions:?}",
            stream.number,
            stream.pieces.len()
        );
        fleet.record.note(text);
        if versions.len() > 1 {
            verdict = CaseVerdict::Broken;
        }
    }
    Ok(verdict)
}

fn plan(version: u32, service: &str) -> String {
    let route = PlanRoute {
        prefix: "/chat/",
        route_type: "streaming",
        service,
        resumes: true,
        timeout_ms: 6_000,
        goal_ms: 1_900,
        stages: &[],
    };
    plan_text(version, &[route], &SERVICES, &[], &["key-a"])
}

/// A stream as its caller has put it together.
struct JoinedStream {
    number: u32,
    lines: Vec<String>,
    /// Service and version that wrote each piece.
    pieces: Vec<String>,
}

impl JoinedStream {
    fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> = self.pieces.iter().map(String::as_str).collect();
        versions.dedup();
        versions
    }

    /// Takes the whole events of an answer.
    fn take(&mut self, outcome: &CallerOutcome) {
        let Some(end) = outcome.body.rfind("\n\n") else {
            return;
        };
        let lines = outcome.body[..end].lines();
        let data = lines.filter_map(|line| line.strip_prefix("data: "));
        let writers = data.filter_map(|data| data.split_once(" piece "));
        self.pieces
            .extend(writers.map(|(writer, _)| writer.to_string()));
    }
}

/// Reads a stream; if its connection breaks, takes it up once at the second daemon.
fn read_stream(first: SocketAddr, second: SocketAddr, number: u32) -> JoinedStream {
    let begun = Instant::now();
    let mut stream = JoinedStream {
        number,
        lines: Vec::new(),
        pieces: Vec::new(),
    };
    let mut request = CallerRequest {
        id: format!("{number:08x}00000001"),
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
    };
    let outcome = ask(first, &request);
    stream.lines.push(outcome_text(&request, &outcome));
    stream.take(&outcome);
    if outcome.is_complete || stream.pieces.is_empty() {
        return stream;
    }
    request.id = format!("{number:08x}00000002");
    request.deadline = DEADLINE.saturating_sub(begun.elapsed());
    let last = stream.pieces.len().to_string();
    request.headers.push((String::from("Last-Event-Id"), last));
    let outcome = ask(second, &request);
    stream.lines.push(outcome_text(&request, &outcome));
    if outcome.status == 200 {
        stream.take(&outcome);
    }
    stream
}

fn outcome_text(request: &CallerRequest, outcome: &CallerOutcome) -> String {
    let (id, status, whole) = (&request.id, outcome.status, outcome.is_complete);
    format!("sent {id}: status {status}, whole: {whole}")
}
