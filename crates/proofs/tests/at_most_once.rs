//! A non-idempotent request runs at most once, even if callers repeat it and entries or targets
//! fail meanwhile. Each test counts the postings in the ledgers' journals.

use {
    base::{FailureReason, RunVerdict},
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller, wait_until},
    serde_json::json,
    stand::{EchoRule, EchoStage},
    std::time::Duration,
};

/// Time until the deadline of a request that is to expire while its entry is frozen.
const SHORT_DEADLINE: Duration = Duration::from_secs(1);
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the expected answer of the pipeline `pay`.
fn expected_answer(request: &str) -> Vec<u8> {
    let stages = ["encode", "post"].map(|call| EchoStage::Plain(call.to_string()));
    EchoRule::pipeline_answer("farm", request, b"bill", &stages)
}

/// Returns a request for a posting with an unused ticket of an entry.
async fn posting_request(fleet: &FleetHarness, host: &str, id: &str) -> RunRequest {
    let caller = TestCaller::new();
    let ticket = caller
        .fetch_ticket(&fleet.caller_address(host), "farm")
        .await
        .unwrap();
    RunRequest::new("farm", "pay", id, b"bill").with_ticket(ticket)
}

async fn set_ledger_delay(fleet: &FleetHarness, delay_ms: u64) {
    for ledger in ["ledger1", "ledger2"] {
        fleet
            .control_target(ledger, &json!({ "delay_ms": delay_ms }))
            .await
            .unwrap();
    }
}

/// Returns how often all ledgers together applied the posting of a request.
fn posting_count(fleet: &FleetHarness, id: &str) -> u64 {
    let postings = fleet.posting_counts().unwrap();
    postings.get(&format!("farm/{id}")).copied().unwrap_or(0)
}

/// Waits until a ledger has received a call.
async fn wait_for_ledger_call(fleet: &FleetHarness) {
    wait_until("a ledger has received a call", WAIT_TIMEOUT, async || {
        let first = fleet.call_records("ledger1").await.unwrap_or_default();
        let second = fleet.call_records("ledger2").await.unwrap_or_default();
        !first.is_empty() || !second.is_empty()
    })
    .await
    .unwrap();
}

/// Guards against a second posting when a caller repeats a request while the first send still runs,
/// at the same entry or at another one, or after it has been answered. Each send must get the same
/// answer.
#[actix_rt::test]
async fn repeat_joins_the_first_send() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    set_ledger_delay(&fleet, 400).await;
    let request = posting_request(&fleet, "h1", "r1").await;
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
            Some(expected_answer("r1").as_slice()),
            "{outcome:?}"
        );
    }
    let late_repeat = caller.run(&other, &request).await;
    assert_eq!(
        late_repeat.complete_answer(),
        Some(expected_answer("r1").as_slice()),
        "{late_repeat:?}"
    );
    assert_eq!(posting_count(&fleet, "r1"), 1);
}

/// Guards against a lost or repeated posting when a caller drops its connection before the answer
/// and then repeats the request at the same entry and at another one.
#[actix_rt::test]
async fn caller_that_times_out_gets_the_recorded_answer() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    set_ledger_delay(&fleet, 500).await;
    let request = posting_request(&fleet, "h1", "r1").await;
    let entry = fleet.caller_address("h1");
    let first_caller = TestCaller::new();
    let first = first_caller.run(&entry, &request);
    let timeout_result = actix_rt::time::timeout(Duration::from_millis(150), first).await;
    assert!(timeout_result.is_err());
    drop(first_caller);
    for host in ["h1", "h2"] {
        let outcome = TestCaller::new()
            .run(&fleet.caller_address(host), &request)
            .await;
        assert_eq!(
            outcome.complete_answer(),
            Some(expected_answer("r1").as_slice()),
            "{outcome:?}"
        );
    }
    assert_eq!(posting_count(&fleet, "r1"), 1);
}

/// Guards against a second posting when the entry that owns the ticket is killed while a ledger
/// works on the call. Other entries, and the owner after its restart, can't know whether the
/// posting was applied, so they must refuse a repeat and say that an earlier send may have run.
#[actix_rt::test]
async fn repeat_after_entry_crash_is_refused() {
    let mut fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    set_ledger_delay(&fleet, 300).await;
    let request = posting_request(&fleet, "h1", "r1").await;
    let caller = TestCaller::new();
    let entry = fleet.caller_address("h1");
    let first = actix_rt::spawn({
        let (caller, request) = (caller.clone(), request.clone());
        async move { caller.run(&entry, &request).await }
    });
    wait_for_ledger_call(&fleet).await;
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
    fleet.wait_for_sheet("h1", 1, WAIT_TIMEOUT).await.unwrap();
    let again = caller.run(&fleet.caller_address("h1"), &request).await;
    let report = again.failure().unwrap();
    assert_eq!(report.reason, FailureReason::TicketOwnerGone, "{report:?}");
    assert!(posting_count(&fleet, "r1") <= 1);
}

/// Guards against a posting after the deadline: the entry is frozen in the first stage, and when it
/// continues it would start the second stage although the deadline has passed.
#[actix_rt::test]
async fn frozen_entry_posts_nothing_after_its_deadline() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    for encoder in ["encode1", "encode2"] {
        fleet
            .control_target(encoder, &json!({ "delay_ms": 300 }))
            .await
            .unwrap();
    }
    let request = posting_request(&fleet, "h1", "r1")
        .await
        .within(SHORT_DEADLINE);
    let caller = TestCaller::new();
    let entry = fleet.caller_address("h1");
    let first = actix_rt::spawn({
        let (caller, request) = (caller.clone(), request.clone());
        async move { caller.run(&entry, &request).await }
    });
    wait_until(
        "an encoder has received the call",
        WAIT_TIMEOUT,
        async || {
            let first = fleet.call_records("encode1").await.unwrap_or_default();
            let second = fleet.call_records("encode2").await.unwrap_or_default();
            !first.is_empty() || !second.is_empty()
        },
    )
    .await
    .unwrap();
    fleet.process("h1").freeze().unwrap();
    let other = caller.run(&fleet.caller_address("h2"), &request).await;
    assert!(other.complete_answer().is_none(), "{other:?}");
    assert!(
        !other.is_not_run(),
        "the frozen entry may have sent the call before: {other:?}"
    );
    fleet.process("h1").unfreeze().unwrap();
    let frozen_outcome = first.await.unwrap();
    assert!(
        frozen_outcome.complete_answer().is_none(),
        "{frozen_outcome:?}"
    );
    let later = caller.run(&fleet.caller_address("h1"), &request).await;
    assert!(later.complete_answer().is_none(), "{later:?}");
    assert_eq!(
        posting_count(&fleet, "r1"),
        0,
        "the deadline had passed before the entry was continued"
    );
}

/// Guards against a second posting when the ledger applies the posting and dies before it answers,
/// so that the entry sees a lost connection. Repeats must get the verdict that the request may have
/// run.
#[actix_rt::test]
async fn target_that_dies_after_posting_is_not_called_again() {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    for ledger in ["ledger1", "ledger2"] {
        fleet
            .control_target(ledger, &json!({ "die_after_work": true }))
            .await
            .unwrap();
    }
    let request = posting_request(&fleet, "h1", "r1").await;
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
    assert_eq!(posting_count(&fleet, "r1"), 1);
}

/// Guards against a lost or repeated posting when a target closes a pooled connection just as the
/// entry sends the next call on it.
#[actix_rt::test]
async fn closed_pooled_connection_neither_loses_nor_repeats_a_posting() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    let caller = TestCaller::new();
    for round in 0..10 {
        let id = format!("r{round}");
        let request = posting_request(&fleet, "h1", &id).await;
        for target in ["ledger1", "ledger2", "encode1", "encode2"] {
            fleet
                .control_target(target, &json!({ "close_pooled": true }))
                .await
                .unwrap();
        }
        let outcome = caller.run(&fleet.caller_address("h1"), &request).await;
        assert_eq!(
            outcome.complete_answer(),
            Some(expected_answer(&id).as_slice()),
            "{outcome:?}"
        );
        assert_eq!(posting_count(&fleet, &id), 1);
    }
}

/// Guards against a posting under a ticket that another customer or another request has spent, and
/// under no ticket at all. A refusal for a missing ticket must bring new tickets.
#[actix_rt::test]
async fn ticket_is_valid_for_one_customer_and_one_request() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    let entry = fleet.caller_address("h1");
    let caller = TestCaller::new();
    let request = posting_request(&fleet, "h1", "r1").await;
    assert!(
        caller
            .run(&entry, &request)
            .await
            .complete_answer()
            .is_some()
    );
    let ticket = request.ticket.clone().unwrap();
    let other_customer = RunRequest::new("show", "pay", "r1", b"bill").with_ticket(&ticket);
    let other_request = RunRequest::new("farm", "pay", "r2", b"bill").with_ticket(&ticket);
    for request in [other_customer, other_request] {
        let outcome = caller.run(&entry, &request).await;
        let report = outcome.failure().unwrap();
        assert_eq!(report.reason, FailureReason::TicketInvalid);
        assert_eq!(report.verdict, RunVerdict::NotRun);
    }
    let mut without_ticket = request;
    without_ticket.ticket = None;
    let outcome = caller.run(&entry, &without_ticket).await;
    let report = outcome.failure().unwrap();
    assert_eq!(report.reason, FailureReason::TicketMissing);
    assert!(!report.tickets.is_empty());
    assert_eq!(fleet.posting_counts().unwrap().values().sum::<u64>(), 1);
}

/// Guards against postings that need entries on the other side of a partition: each entry must
/// accept requests under its own tickets while one host is isolated.
#[actix_rt::test]
async fn first_sends_work_on_both_sides_of_a_partition() {
    let fleet = FleetHarness::start(FleetPlan::small(3).proxied())
        .await
        .unwrap();
    fleet.isolate_host("h1").await.unwrap();
    let caller = TestCaller::new();
    for host in ["h1", "h2", "h3"] {
        let id = format!("first-{host}");
        let request = posting_request(&fleet, host, &id).await;
        let outcome = caller.run(&fleet.caller_address(host), &request).await;
        assert_eq!(
            outcome.complete_answer(),
            Some(expected_answer(&id).as_slice()),
            "{outcome:?}"
        );
        assert_eq!(posting_count(&fleet, &id), 1);
    }
}
