//! Tests of the harness with entries: an injected fault takes effect, and clearing it ends the
//! effect. Other tests rely on both.

use {
    base::{HostState, StreamEvent},
    futures_util::future::join_all,
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller, wait_until},
    serde::Deserialize,
    serde_json::json,
    stand::{CallOutcome, EchoRule, EchoStage},
    std::time::Duration,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time until a leaving target gets no new calls.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);

/// State of another entry as an entry lists it.
#[derive(Deserialize)]
struct MemberState {
    entry: MemberName,
    suspect: bool,
}

#[derive(Deserialize)]
struct MemberName {
    host: String,
}

/// Returns the hosts that an entry lists as suspect.
async fn suspected_hosts(fleet: &FleetHarness, host: &str) -> Vec<String> {
    let url = format!("{}/members", fleet.operator_url(host));
    let members: Vec<MemberState> = fleet.probe().get(&url).await.unwrap_or_default();
    let suspects = members.into_iter().filter(|member| member.suspect);
    suspects.map(|member| member.entry.host).collect()
}

/// Returns the expected answer of the pipeline `read`.
fn expected_answer(request: &str, input: &[u8]) -> Vec<u8> {
    let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
    EchoRule::pipeline_answer("farm", request, input, &stages)
}

/// Guards against address answers that name the old address of an entry that was killed and started
/// again on another port.
#[actix_rt::test]
async fn restarted_entry_is_listed_at_its_new_address() -> anyhow::Result<()> {
    let mut fleet = FleetHarness::start(FleetPlan::small(3)).await?;
    let before = fleet.caller_address("h2");
    fleet.process_mut("h2").kill()?;
    fleet.restart_entry("h2").await?;
    let address = fleet.caller_address("h2");
    assert_ne!(address, before);
    for host in ["h1", "h2", "h3"] {
        fleet
            .wait_for_addresses(host, "h2 is known again", WAIT_TIMEOUT, |answer| {
                let mut entries = answer.addresses.iter();
                entries.any(|entry| entry.address == address)
            })
            .await?;
    }
    Ok(())
}

/// Guards against a stream that is buffered on its way and arrives only when the engine has
/// finished, here through proxies.
#[actix_rt::test]
async fn stream_arrives_event_by_event_and_is_complete() -> anyhow::Result<()> {
    let fleet = FleetHarness::start(FleetPlan::small(1).proxied()).await?;
    fleet
        .control_target("model1", &json!({"token_ms": 50.0}))
        .await?;
    fleet
        .control_target("model2", &json!({"token_ms": 50.0}))
        .await?;
    let request = RunRequest::new("farm", "read", "r1", b"hay tokens=8").streamed();
    let caller = TestCaller::new();
    let mut stream = caller
        .open_stream(&fleet.caller_address("h1"), &request)
        .await?;
    let mut first_event = stream.next().await?;
    while matches!(first_event, Some(StreamEvent::Begin { .. })) {
        first_event = stream.next().await?;
    }
    assert!(matches!(
        first_event,
        Some(StreamEvent::Token { index: 0, .. })
    ));
    let mut outcomes = Vec::new();
    for target in ["model1", "model2"] {
        let records = fleet.call_records(target).await?;
        outcomes.extend(records.iter().map(|record| record.outcome));
    }
    assert!(
        outcomes.contains(&CallOutcome::Running),
        "the engine must still generate the rest"
    );
    let outcome = stream.read_outcome().await?;
    let expected = expected_answer("r1", &request.input);
    assert_eq!(outcome.complete_answer(), Some(expected.as_slice()));
    Ok(())
}

/// Guards against a harness that misses or miscounts postings, which would hide repeated ones from
/// other tests.
#[actix_rt::test]
async fn posting_is_applied_once_and_counted() -> anyhow::Result<()> {
    let fleet = FleetHarness::start(FleetPlan::small(2)).await?;
    let (caller, entry) = (TestCaller::new(), fleet.caller_address("h1"));
    let ticket = caller.fetch_ticket(&entry, "farm").await?;
    let request = RunRequest::new("farm", "pay", "r1", b"hay").with_ticket(ticket);
    let first = caller.run(&entry, &request).await;
    assert!(first.complete_answer().is_some(), "{first:?}");
    assert_eq!(
        caller.run(&entry, &request).await,
        first,
        "a repeat must get the recorded answer"
    );
    let postings = fleet.posting_counts()?;
    assert_eq!(postings.len(), 1);
    assert_eq!(postings["farm/r1"], 1);
    Ok(())
}

/// Runs 16 requests at the same time; returns the number of them that called this target.
async fn count_round_calls(
    fleet: &FleetHarness,
    target: &str,
    round: u32,
) -> anyhow::Result<usize> {
    let before = fleet.call_records(target).await?.len();
    let (caller, entry) = (TestCaller::new(), fleet.caller_address("h1"));
    let runs = (0..16).map(|number| {
        let request = RunRequest::new("farm", "look", format!("r{round}-{number}"), b"hay");
        let (caller, entry) = (&caller, &entry);
        async move { caller.run(entry, &request).await }
    });
    for outcome in join_all(runs).await {
        assert!(outcome.complete_answer().is_some(), "{outcome:?}");
    }
    Ok(fleet.call_records(target).await?.len() - before)
}

/// Guards against entries that go on calling a target after the host list marks it as leaving.
#[actix_rt::test]
async fn target_marked_as_leaving_gets_no_new_work() -> anyhow::Result<()> {
    let mut fleet = FleetHarness::start(FleetPlan::small(1)).await?;
    let mut round = 0;
    wait_until("the target gets a call", WAIT_TIMEOUT, async || {
        round += 1;
        let calls = count_round_calls(&fleet, "encode1", round).await;
        calls.is_ok_and(|calls| calls > 0)
    })
    .await?;
    fleet
        .publish_target_state("encode1", HostState::Leaving)
        .await?;
    wait_until("the target gets no call", LEAVING_TIMEOUT, async || {
        round += 1;
        let calls = count_round_calls(&fleet, "encode1", round).await;
        calls.is_ok_and(|calls| calls == 0)
    })
    .await?;
    for _ in 0..20 {
        round += 1;
        assert_eq!(count_round_calls(&fleet, "encode1", round).await?, 0);
    }
    Ok(())
}

/// Guards against an isolation that has no effect, stops the isolated host from serving its
/// callers, or goes on after its faults are cleared: then the host must be trusted again and have
/// the new sheet.
#[actix_rt::test]
async fn isolated_host_serves_its_callers_and_rejoins() -> anyhow::Result<()> {
    let mut fleet = FleetHarness::start(FleetPlan::small(3).proxied()).await?;
    fleet.isolate_host("h3").await?;
    for host in ["h1", "h2"] {
        wait_until("the isolated host is suspect", WAIT_TIMEOUT, async || {
            suspected_hosts(&fleet, host).await == ["h3"]
        })
        .await?;
    }
    let caller = TestCaller::new();
    for host in ["h1", "h2", "h3"] {
        let request = RunRequest::new("farm", "look", format!("r-{host}"), b"hay");
        let outcome = caller.run(&fleet.caller_address(host), &request).await;
        assert!(outcome.complete_answer().is_some(), "{host}: {outcome:?}");
    }
    let version = fleet.publish(|_| {}).await?;
    fleet.clear_entry_faults().await?;
    for host in ["h1", "h2", "h3"] {
        fleet.wait_for_sheet(host, version, WAIT_TIMEOUT).await?;
        wait_until("no host is suspect", WAIT_TIMEOUT, async || {
            suspected_hosts(&fleet, host).await.is_empty()
        })
        .await?;
    }
    Ok(())
}
