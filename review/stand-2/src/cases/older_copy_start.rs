//! The store comes back from a copy that is some seconds old, and a daemon is started again: a key
//! that was taken away must not work there.

use {
    crate::{
        case_setup::{CaseFleet, CaseVerdict},
        plan_text::{PlanRoute, plan_text},
        test_caller::{CallerRequest, ask},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time by which a key must be out of use after the confirmation.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
const CALM_TIME: Duration = Duration::from_secs(8);
/// Time from the copy to the confirmation that takes the key away.
const COPY_LEAD: Duration = Duration::from_millis(500);
/// From the confirmation: the store goes away, comes back, a daemon is restarted twice, and the
/// operator writes the configuration again.
const AWAY_AT: Duration = Duration::from_millis(4_200);
const BACK_AT: Duration = Duration::from_millis(5_200);
const RESTARTS_AT: [Duration; 2] = [Duration::from_millis(5_500), Duration::from_millis(6_300)];
const REWRITE_AT: Duration = Duration::from_millis(7_200);
const END_AT: Duration = Duration::from_millis(9_000);
const ASK_INTERVAL: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(600);

/// Runs the case.
pub fn run(fleet: &CaseFleet) -> io::Result<CaseVerdict> {
    for number in 0..2 {
        fleet.start_replica("desk", number, "v1", 0)?;
    }
    fleet.store.put("op/config", &plan(1, &["key-a", "key-b"]));
    let mut edges = fleet.start_edges()?;
    fleet.record.note("daemons ready");
    thread::sleep(CALM_TIME);
    let copy = fleet.store.copy();
    thread::sleep(COPY_LEAD);
    fleet.store.put("op/config", &plan(2, &["key-b"]));
    let confirmed_at = Instant::now();
    fleet
        .record
        .note("configuration 2 confirmed: key-a is taken away");
    let is_over = Arc::new(AtomicBool::new(false));
    let askers: Vec<_> = edges
        .iter()
        .enumerate()
        .map(|(number, edge)| {
            let (address, is_over) = (edge.place.callers(), Arc::clone(&is_over));
            thread::spawn(move || ask_on(address, number, &is_over))
        })
        .collect();
    if fleet.has_trouble() {
        sleep_until(confirmed_at + AWAY_AT);
        fleet.store.go_away();
        fleet.record.note("the store goes away");
        sleep_until(confirmed_at + BACK_AT);
        fleet.store.come_back_from(copy);
        fleet.record.note("the store is back from the copy");
        for restart_at in RESTARTS_AT {
            sleep_until(confirmed_at + restart_at);
            edges[1].restart()?;
            fleet.record.note("daemon 1 killed and started again");
        }
        sleep_until(confirmed_at + REWRITE_AT);
        fleet.store.put("op/config", &plan(2, &["key-b"]));
        fleet.record.note("configuration 2 written again");
    }
    sleep_until(confirmed_at + END_AT);
    is_over.store(true, Ordering::Relaxed);
    let mut verdict = CaseVerdict::Held;
    for asker in askers {
        let outcomes = asker
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        for (id, began_at, status) in outcomes {
            let after = began_at.saturating_duration_since(confirmed_at);
            fleet.record.note(format!(
                "sent {id} with key-a {after:.3?} after the confirmation: status {status}"
            ));
            if status == 200 && after > REVOKE_TIME {
                verdict = CaseVerdict::Broken;
            }
        }
    }
    Ok(verdict)
}

fn plan(version: u32, keys: &[&str]) -> String {
    let route = PlanRoute {
        prefix: "/fee/",
        route_type: "non_idempotent",
        service: "desk",
        resumes: false,
        timeout_ms: 600,
        goal_ms: 100,
        stages: &[],
    };
    plan_text(version, &[route], &[], &["desk"], keys)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Asks with the key that is taken away until the case is over.
fn ask_on(address: SocketAddr, edge: usize, is_over: &AtomicBool) -> Vec<(String, Instant, u16)> {
    let mut outcomes = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let request = CallerRequest {
            id: format!("{edge:x}{:015x}", outcomes.len()),
            path: String::from("/fee/1"),
            key: String::from("key-a"),
            deadline: DEADLINE,
            headers: Vec::new(),
        };
        let began_at = Instant::now();
        let outcome = ask(address, &request);
        outcomes.push((request.id, began_at, outcome.status));
        thread::sleep(ASK_INTERVAL);
    }
    outcomes
}
