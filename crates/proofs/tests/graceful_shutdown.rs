//! A graceful shutdown cuts no request, and no answer hands out an entry that is leaving.

use {
    base::{FailureReason, HostState, RunVerdict, StreamEvent},
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller, wait_until},
    serde_json::json,
    stand::{EchoRule, EchoStage},
    std::time::{Duration, Instant},
};

const LIMIT: Duration = Duration::from_secs(15);
/// Time in which no answer may name a leaving entry any more.
const UNLISTED_LIMIT: Duration = Duration::from_secs(3);
const LONG_INPUT: &[u8] = b"hay tokens=220";

/// Right answer of the pipeline `read`.
fn read_answer(request: &str, input: &[u8]) -> Vec<u8> {
    let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
    EchoRule::pipeline_answer("farm", request, input, &stages)
}

/// A fleet of three entries whose engines take 50 ms for a token.
async fn slow_fleet(settings: &str) -> FleetHarness {
    let mut plan = FleetPlan::small(3);
    for entry in &mut plan.entries {
        entry.extra_settings = settings.to_string();
    }
    let fleet = FleetHarness::start(plan).await.unwrap();
    for engine in ["model1", "model2"] {
        fleet
            .control_target(engine, &json!({ "token_ms": 50 }))
            .await
            .unwrap();
    }
    fleet
}

/// A chat of about eleven seconds.
fn long_chat() -> RunRequest {
    RunRequest::new("farm", "read", "chat", LONG_INPUT)
        .streamed()
        .within(Duration::from_secs(28))
}

/// Waits until neither peer's answers name the entry.
async fn wait_unlisted(fleet: &FleetHarness, address: &str) {
    for host in ["h2", "h3"] {
        let what = format!("{host} does not name the leaving entry");
        fleet
            .wait_for_addresses(host, &what, UNLISTED_LIMIT, |answer| {
                !answer
                    .addresses
                    .iter()
                    .any(|entry| entry.address == address)
            })
            .await
            .unwrap();
    }
}

/// Follows an entry from the word that it should leave to its end.
async fn check_leaving(fleet: &mut FleetHarness, entry: &str) {
    let caller = TestCaller::new();
    wait_unlisted(fleet, entry).await;
    let held = caller
        .run(entry, &RunRequest::new("farm", "look", "held", b"hay"))
        .await;
    assert!(
        held.complete_answer().is_some(),
        "who holds an older answer is served: {held:?}"
    );
    let mut refusal = None;
    wait_until("the entry refuses new requests", LIMIT, async || {
        let outcome = caller
            .run(entry, &RunRequest::new("farm", "look", "late", b"hay"))
            .await;
        refusal = outcome.failure().cloned();
        refusal.is_some()
    })
    .await
    .unwrap();
    let report = refusal.unwrap();
    assert_eq!(report.reason, FailureReason::Leaving, "{report:?}");
    assert_eq!(report.verdict, RunVerdict::NotRun);
    assert!(!report.addresses.is_empty());
    assert!(report.addresses.iter().all(|other| other.address != entry));
    let other = &report.addresses[0].address;
    let moved = caller
        .run(other, &RunRequest::new("farm", "look", "late", b"hay"))
        .await;
    assert!(moved.complete_answer().is_some(), "{moved:?}");
}

#[actix_rt::test]
async fn terminated_entry_ends_its_chat_whole() {
    let mut fleet = slow_fleet("").await;
    let entry = fleet.caller_address("h1");
    let chat = actix_rt::spawn({
        let entry = entry.clone();
        async move { TestCaller::new().run(&entry, &long_chat()).await }
    });
    fleet.process("h1").terminate().unwrap();
    check_leaving(&mut fleet, &entry).await;
    let outcome = chat.await.unwrap();
    let expected = read_answer("chat", LONG_INPUT);
    assert_eq!(outcome.complete_answer(), Some(expected.as_slice()));
    let status = fleet.wait_for_exit("h1", LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", fleet.log_text("h1"));
}

#[actix_rt::test]
async fn entry_marked_in_the_host_list_ends_its_chat_whole() {
    let mut fleet = slow_fleet("[members]\nlist_lag = \"1s\"\n").await;
    let entry = fleet.caller_address("h1");
    let chat = actix_rt::spawn({
        let entry = entry.clone();
        async move { TestCaller::new().run(&entry, &long_chat()).await }
    });
    let started = Instant::now();
    wait_until("the list may be believed", LIMIT, async || {
        started.elapsed() > Duration::from_secs(2)
    })
    .await
    .unwrap();
    for row in &mut fleet.hosts_mut().hosts {
        if row.host == "h1" {
            row.state = HostState::Leaving;
        }
    }
    fleet.publish_hosts().await.unwrap();
    check_leaving(&mut fleet, &entry).await;
    let outcome = chat.await.unwrap();
    let expected = read_answer("chat", LONG_INPUT);
    assert_eq!(outcome.complete_answer(), Some(expected.as_slice()));
    let status = fleet.wait_for_exit("h1", LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", fleet.log_text("h1"));
}

#[actix_rt::test]
async fn second_signal_ends_streams_with_a_final_word() {
    let mut fleet = slow_fleet("").await;
    let entry = fleet.caller_address("h1");
    let mut stream = TestCaller::new()
        .open_stream(&entry, &long_chat())
        .await
        .unwrap();
    assert!(matches!(
        stream.next().await.unwrap(),
        Some(StreamEvent::Token { .. })
    ));
    let process = fleet.process("h1");
    process.terminate().unwrap();
    wait_unlisted(&fleet, &entry).await;
    fleet.process("h1").terminate().unwrap();
    let outcome = stream.read_outcome().await.unwrap();
    let report = outcome.failure().unwrap();
    assert_eq!(report.reason, FailureReason::Leaving);
    assert_ne!(report.verdict, RunVerdict::NotRun);
    let status = fleet.wait_for_exit("h1", LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(1), "{}", fleet.log_text("h1"));
}

#[actix_rt::test]
async fn time_limit_ends_streams_with_a_final_word() {
    let settings = "[answers]\nkeep = \"500ms\"\n\n[shutdown]\nlimit = \"1s\"\n";
    let mut fleet = slow_fleet(settings).await;
    let entry = fleet.caller_address("h1");
    let mut stream = TestCaller::new()
        .open_stream(&entry, &long_chat())
        .await
        .unwrap();
    assert!(matches!(
        stream.next().await.unwrap(),
        Some(StreamEvent::Token { .. })
    ));
    fleet.process("h1").terminate().unwrap();
    let outcome = stream.read_outcome().await.unwrap();
    assert_eq!(outcome.failure().unwrap().reason, FailureReason::Leaving);
    let status = fleet.wait_for_exit("h1", LIMIT).await.unwrap();
    assert_eq!(status.code(), Some(1), "{}", fleet.log_text("h1"));
}
