//! A request that may not be repeated runs at most once, whatever fails and whoever sends again.

use {
    base::{FailureReason, RunVerdict},
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller, wait_until},
    serde_json::json,
    stand::{EchoRule, EchoStage},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
const LIMIT: Duration = Duration::from_secs(10);

/// Right answer of the pipeline `pay`.
fn paid(request: &str) -> Vec<u8> {
    let stages = ["encode", "post"].map(|call| EchoStage::Plain(call.to_string()));
    EchoRule::pipeline_answer("farm", request, b"bill", &stages)
}

/// A posting under a fresh ticket of an entry.
async fn posting(fleet: &FleetHarness, host: &str, id: &str) -> RunRequest {
    let caller = TestCaller::new();
    let ticket = caller
        .fetch_ticket(&fleet.caller_address(host), "farm")
        .await
        .unwrap();
    RunRequest::new("farm", "pay", id, b"bill").with_ticket(ticket)
}

async fn slow_ledgers(fleet: &FleetHarness, delay_ms: u64) {
    for ledger in ["ledger1", "ledger2"] {
        fleet
            .control_target(ledger, &json!({ "delay_ms": delay_ms }))
            .await
            .unwrap();
    }
}

/// How often the request was posted, over all ledgers.
fn posted(fleet: &FleetHarness, id: &str) -> u64 {
    let postings = fleet.posting_counts().unwrap();
    postings.get(&format!("farm/{id}")).copied().unwrap_or(0)
}

/// Waits until a ledger works on a call.
async fn wait_posting(fleet: &FleetHarness) {
    wait_until("a ledger has a call", LIMIT, async || {
        let first = fleet.call_records("ledger1").await.unwrap_or_default();
        let second = fleet.call_records("ledger2").await.unwrap_or_default();
        !first.is_empty() || !second.is_empty()
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn repeat_joins_the_first_send() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    slow_ledgers(&fleet, 400).await;
    let request = posting(&fleet, "h1", "r1").await;
    let caller = TestCaller::new();
    let (entry, other) = (fleet.caller_address("h1"), fleet.caller_address("h2"));
    let sends = tokio::join!(
        caller.run(&entry, &request),
        caller.run(&entry, &request),
        caller.run(&other, &request),
    );
    for outcome in [&sends.0, &sends.1, &sends.2] {
        assert_eq!(
            outcome.complete_answer(),
            Some(paid("r1").as_slice()),
            "{outcome:?}"
        );
    }
    let late = caller.run(&other, &request).await;
    assert_eq!(
        late.complete_answer(),
        Some(paid("r1").as_slice()),
        "{late:?}"
    );
    assert_eq!(posted(&fleet, "r1"), 1);
}

#[actix_rt::test]
async fn caller_that_times_out_gets_the_recorded_answer() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    slow_ledgers(&fleet, 500).await;
    let request = posting(&fleet, "h1", "r1").await;
    let entry = fleet.caller_address("h1");
    let impatient = TestCaller::new();
    let first = impatient.run(&entry, &request);
    let timed_out = actix_rt::time::timeout(Duration::from_millis(150), first).await;
    assert!(timed_out.is_err());
    drop(impatient);
    for host in ["h1", "h2"] {
        let outcome = TestCaller::new()
            .run(&fleet.caller_address(host), &request)
            .await;
        assert_eq!(
            outcome.complete_answer(),
            Some(paid("r1").as_slice()),
            "{outcome:?}"
        );
    }
    assert_eq!(posted(&fleet, "r1"), 1);
}

#[actix_rt::test]
async fn killed_entry_leaves_doubt_and_no_second_run() {
    let mut fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    slow_ledgers(&fleet, 300).await;
    let request = posting(&fleet, "h1", "r1").await;
    let caller = TestCaller::new();
    let entry = fleet.caller_address("h1");
    let first = actix_rt::spawn({
        let (caller, request) = (caller.clone(), request.clone());
        async move { caller.run(&entry, &request).await }
    });
    wait_posting(&fleet).await;
    fleet.process_mut("h1").kill().unwrap();
    let outcome = first.await.unwrap();
    assert!(matches!(outcome, RunOutcome::Broken(_)), "{outcome:?}");
    for _ in 0..3 {
        let again = caller.run(&fleet.caller_address("h2"), &request).await;
        let report = again.failure().unwrap();
        assert_eq!(report.reason, FailureReason::TicketOwnerGone, "{report:?}");
        assert_eq!(report.verdict, RunVerdict::NotRun);
        assert!(report.earlier_may_have_run);
    }
    fleet.restart_entry("h1").await.unwrap();
    fleet.wait_for_sheet("h1", 1, LIMIT).await.unwrap();
    let again = caller.run(&fleet.caller_address("h1"), &request).await;
    let report = again.failure().unwrap();
    assert_eq!(report.reason, FailureReason::TicketOwnerGone, "{report:?}");
    assert!(posted(&fleet, "r1") <= 1);
}

#[actix_rt::test]
async fn frozen_entry_posts_nothing_after_its_deadline() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    for encoder in ["encode1", "encode2"] {
        fleet
            .control_target(encoder, &json!({ "delay_ms": 300 }))
            .await
            .unwrap();
    }
    let request = posting(&fleet, "h1", "r1").await.within(SECOND);
    let caller = TestCaller::new();
    let entry = fleet.caller_address("h1");
    let first = actix_rt::spawn({
        let (caller, request) = (caller.clone(), request.clone());
        async move { caller.run(&entry, &request).await }
    });
    wait_until("an encoder has the call", LIMIT, async || {
        let first = fleet.call_records("encode1").await.unwrap_or_default();
        let second = fleet.call_records("encode2").await.unwrap_or_default();
        !first.is_empty() || !second.is_empty()
    })
    .await
    .unwrap();
    fleet.process("h1").freeze().unwrap();
    let other = caller.run(&fleet.caller_address("h2"), &request).await;
    assert!(other.complete_answer().is_none(), "{other:?}");
    assert!(
        !other.is_not_run(),
        "the frozen entry may still have sent it: {other:?}"
    );
    fleet.process("h1").unfreeze().unwrap();
    let woken = first.await.unwrap();
    assert!(woken.complete_answer().is_none(), "{woken:?}");
    let later = caller.run(&fleet.caller_address("h1"), &request).await;
    assert!(later.complete_answer().is_none(), "{later:?}");
    assert_eq!(
        posted(&fleet, "r1"),
        0,
        "the deadline was over when the entry woke"
    );
}

#[actix_rt::test]
async fn target_that_dies_after_its_work_is_not_asked_again() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    for ledger in ["ledger1", "ledger2"] {
        fleet
            .control_target(ledger, &json!({ "die_after_work": true }))
            .await
            .unwrap();
    }
    let request = posting(&fleet, "h1", "r1").await;
    let caller = TestCaller::new();
    let first = caller.run(&fleet.caller_address("h1"), &request).await;
    let report = first.failure().unwrap();
    assert_eq!(report.verdict, RunVerdict::MayHaveRun, "{report:?}");
    assert_eq!(
        report.retry_after_ms, None,
        "no later send can change the answer"
    );
    for host in ["h1", "h2"] {
        let again = caller.run(&fleet.caller_address(host), &request).await;
        let report = again.failure().unwrap();
        assert_eq!(report.verdict, RunVerdict::MayHaveRun, "{report:?}");
    }
    assert_eq!(posted(&fleet, "r1"), 1);
}

#[actix_rt::test]
async fn closed_pooled_connection_loses_and_doubles_nothing() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    let caller = TestCaller::new();
    for round in 0..10 {
        let id = format!("r{round}");
        let request = posting(&fleet, "h1", &id).await;
        for target in ["ledger1", "ledger2", "encode1", "encode2"] {
            fleet
                .control_target(target, &json!({ "close_pooled": true }))
                .await
                .unwrap();
        }
        let outcome = caller.run(&fleet.caller_address("h1"), &request).await;
        assert_eq!(
            outcome.complete_answer(),
            Some(paid(&id).as_slice()),
            "{outcome:?}"
        );
        assert_eq!(posted(&fleet, &id), 1);
    }
}

#[actix_rt::test]
async fn ticket_serves_one_customer_and_one_request() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    let entry = fleet.caller_address("h1");
    let caller = TestCaller::new();
    let request = posting(&fleet, "h1", "r1").await;
    assert!(
        caller
            .run(&entry, &request)
            .await
            .complete_answer()
            .is_some()
    );
    let ticket = request.ticket.clone().unwrap();
    let thief = RunRequest::new("show", "pay", "r1", b"bill").with_ticket(&ticket);
    let second = RunRequest::new("farm", "pay", "r2", b"bill").with_ticket(&ticket);
    for request in [thief, second] {
        let outcome = caller.run(&entry, &request).await;
        let report = outcome.failure().unwrap();
        assert_eq!(report.reason, FailureReason::TicketInvalid);
        assert_eq!(report.verdict, RunVerdict::NotRun);
    }
    let mut bare = request;
    bare.ticket = None;
    let outcome = caller.run(&entry, &bare).await;
    let report = outcome.failure().unwrap();
    assert_eq!(report.reason, FailureReason::TicketMissing);
    assert!(!report.tickets.is_empty());
    assert_eq!(fleet.posting_counts().unwrap().values().sum::<u64>(), 1);
}

#[actix_rt::test]
async fn first_sends_work_on_both_sides_of_a_partition() {
    let fleet = FleetHarness::start(FleetPlan::small(3).proxied())
        .await
        .unwrap();
    fleet.isolate_host("h1").await.unwrap();
    let caller = TestCaller::new();
    for host in ["h1", "h2", "h3"] {
        let id = format!("first-{host}");
        let request = posting(&fleet, host, &id).await;
        let outcome = caller.run(&fleet.caller_address(host), &request).await;
        assert_eq!(
            outcome.complete_answer(),
            Some(paid(&id).as_slice()),
            "{outcome:?}"
        );
        assert_eq!(posted(&fleet, &id), 1);
    }
}
