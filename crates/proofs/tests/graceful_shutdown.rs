//! A graceful shutdown of an entry cuts no running request, and address answers stop naming an
//! entry that is leaving before it refuses requests.

use {
    base::{
        CREDENTIAL_HEADER, CUSTOMER_HEADER, FailureReason, HostState, REMAINING_HEADER,
        REQUEST_HEADER, RunVerdict, StreamEvent,
    },
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller, wait_until},
    serde_json::json,
    stand::{EchoRule, EchoStage},
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpSocket,
    },
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum time until no address answer names a leaving entry.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(3);
/// Input for which an engine generates 220 tokens.
const LONG_INPUT: &[u8] = b"hay tokens=220";

/// Length of an answer that does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 12_000_000;
/// Bytes that a caller on a slow link reads in a second.
const SLOW_PACE: f64 = 1_500_000.0;

/// Sends a request on a connection with a small receive buffer, reads slowly until the connection
/// ends, and returns the number of bytes.
async fn read_slowly(entry: &str, id: &str, input: &[u8]) -> usize {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16_384).unwrap();
    let mut stream = socket.connect(entry.parse().unwrap()).await.unwrap();
    let credential = FleetPlan::credential("farm");
    let head = format!(
        "POST /run/look HTTP/1.1\r\nhost: {entry}\r\n{CUSTOMER_HEADER}: farm\r\n\
         {CREDENTIAL_HEADER}: {credential}\r\n{REQUEST_HEADER}: {id}\r\n\
         {REMAINING_HEADER}: 20000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        input.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(input).await.unwrap();
    let started = Instant::now();
    let mut bytes = [0; 8_192];
    let mut read = 0;
    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
        read += count;
        let due = started + Duration::from_secs_f64(read as f64 / SLOW_PACE);
        actix_rt::time::sleep_until(due.into()).await;
    }
    read
}

/// Returns the expected answer of the pipeline `read`.
fn expected_answer(request: &str, input: &[u8]) -> Vec<u8> {
    let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
    EchoRule::pipeline_answer("farm", request, input, &stages)
}

/// Starts three entries with these extra settings and engines that take 50 ms for each token.
async fn start_slow_fleet(settings: &str) -> FleetHarness {
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

/// Returns a request for a stream of about eleven seconds.
fn long_stream_request() -> RunRequest {
    RunRequest::new("farm", "read", "chat", LONG_INPUT)
        .streamed()
        .within(Duration::from_secs(28))
}

/// Waits until the address answers of both peers no longer name the entry.
async fn wait_until_unlisted(fleet: &FleetHarness, address: &str) {
    for host in ["h2", "h3"] {
        let description = format!("{host} does not name the leaving entry");
        fleet
            .wait_for_addresses(host, &description, UNLISTED_TIMEOUT, |answer| {
                !answer
                    .addresses
                    .iter()
                    .any(|entry| entry.address == address)
            })
            .await
            .unwrap();
    }
}

/// Checks an entry that was told to leave: its peers stop naming it, it goes on serving callers
/// with an older address answer, and then refuses requests and names other entries instead.
async fn check_leaving_entry(fleet: &mut FleetHarness, entry: &str) {
    let caller = TestCaller::new();
    wait_until_unlisted(fleet, entry).await;
    let outcome = caller
        .run(entry, &RunRequest::new("farm", "look", "held", b"hay"))
        .await;
    assert!(
        outcome.complete_answer().is_some(),
        "a caller with an older address answer must be served: {outcome:?}"
    );
    let mut refusal_report = None;
    wait_until("the entry refuses new requests", WAIT_TIMEOUT, async || {
        let outcome = caller
            .run(entry, &RunRequest::new("farm", "look", "late", b"hay"))
            .await;
        refusal_report = outcome.failure().cloned();
        refusal_report.is_some()
    })
    .await
    .unwrap();
    let report = refusal_report.unwrap();
    assert_eq!(report.reason, FailureReason::Leaving, "{report:?}");
    assert_eq!(report.verdict, RunVerdict::NotRun);
    assert!(!report.addresses.is_empty());
    assert!(report.addresses.iter().all(|other| other.address != entry));
    let other_entry = &report.addresses[0].address;
    let other_outcome = caller
        .run(
            other_entry,
            &RunRequest::new("farm", "look", "late", b"hay"),
        )
        .await;
    assert!(
        other_outcome.complete_answer().is_some(),
        "{other_outcome:?}"
    );
}

/// Guards against a stream that is cut, or callers that are sent to an entry that refuses them,
/// when the entry receives SIGTERM. The entry must exit with status 0 after its last stream.
#[actix_rt::test]
async fn terminated_entry_completes_its_stream() {
    let mut fleet = start_slow_fleet("").await;
    let entry = fleet.caller_address("h1");
    let outcome_task = actix_rt::spawn({
        let entry = entry.clone();
        async move { TestCaller::new().run(&entry, &long_stream_request()).await }
    });
    fleet.process("h1").terminate().unwrap();
    check_leaving_entry(&mut fleet, &entry).await;
    let outcome = outcome_task.await.unwrap();
    let expected = expected_answer("chat", LONG_INPUT);
    assert_eq!(outcome.complete_answer(), Some(expected.as_slice()));
    let status = fleet.wait_for_exit("h1", WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", fleet.log_text("h1"));
}

/// Guards against the same failures when an operator marks the entry as leaving in the host list
/// instead. The entry ignores a list that may predate its own start, so the test waits before it
/// publishes the mark.
#[actix_rt::test]
async fn entry_marked_in_the_host_list_completes_its_stream() {
    let mut fleet = start_slow_fleet("[members]\nlist_lag = \"1s\"\n").await;
    let entry = fleet.caller_address("h1");
    let outcome_task = actix_rt::spawn({
        let entry = entry.clone();
        async move { TestCaller::new().run(&entry, &long_stream_request()).await }
    });
    let started = Instant::now();
    wait_until(
        "the host list is recent enough to be trusted",
        WAIT_TIMEOUT,
        async || started.elapsed() > Duration::from_secs(2),
    )
    .await
    .unwrap();
    for row in &mut fleet.hosts_mut().hosts {
        if row.host == "h1" {
            row.state = HostState::Leaving;
        }
    }
    fleet.publish_hosts().await.unwrap();
    check_leaving_entry(&mut fleet, &entry).await;
    let outcome = outcome_task.await.unwrap();
    let expected = expected_answer("chat", LONG_INPUT);
    assert_eq!(outcome.complete_answer(), Some(expected.as_slice()));
    let status = fleet.wait_for_exit("h1", WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", fleet.log_text("h1"));
}

/// Guards against streams that are cut without a final event when a second SIGTERM ends the
/// shutdown early. The entry must report the failure and exit with status 1.
#[actix_rt::test]
async fn second_signal_ends_streams_with_a_failure_event() {
    let mut fleet = start_slow_fleet("").await;
    let entry = fleet.caller_address("h1");
    let mut stream = TestCaller::new()
        .open_stream(&entry, &long_stream_request())
        .await
        .unwrap();
    assert!(matches!(
        stream.next().await.unwrap(),
        Some(StreamEvent::Token { .. })
    ));
    let process = fleet.process("h1");
    process.terminate().unwrap();
    wait_until_unlisted(&fleet, &entry).await;
    fleet.process("h1").terminate().unwrap();
    let outcome = stream.read_outcome().await.unwrap();
    let report = outcome.failure().unwrap();
    assert_eq!(report.reason, FailureReason::Leaving);
    assert_ne!(report.verdict, RunVerdict::NotRun);
    let status = fleet.wait_for_exit("h1", WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(1), "{}", fleet.log_text("h1"));
}

/// Guards against streams that are cut without a final event, or an entry that never exits, when a
/// stream outlasts the shutdown limit. The entry must report the failure and exit with status 1.
#[actix_rt::test]
async fn shutdown_limit_ends_streams_with_a_failure_event() {
    let settings = "[answers]\nkeep = \"500ms\"\n\n[shutdown]\nlimit = \"1s\"\n";
    let mut fleet = start_slow_fleet(settings).await;
    let entry = fleet.caller_address("h1");
    let mut stream = TestCaller::new()
        .open_stream(&entry, &long_stream_request())
        .await
        .unwrap();
    assert!(matches!(
        stream.next().await.unwrap(),
        Some(StreamEvent::Token { .. })
    ));
    fleet.process("h1").terminate().unwrap();
    let outcome = stream.read_outcome().await.unwrap();
    assert_eq!(outcome.failure().unwrap().reason, FailureReason::Leaving);
    let status = fleet.wait_for_exit("h1", WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(1), "{}", fleet.log_text("h1"));
}

/// Guards against an answer that is cut because its run has ended, though its caller still reads.
#[actix_rt::test]
async fn an_answer_to_a_slow_reader_is_written_whole_before_its_entry_exits() {
    let mut fleet =
        start_slow_fleet("[answers]\nkeep = \"1s\"\n\n[limits]\nbody_bytes = 16000000\n").await;
    let entry = fleet.caller_address("h1");
    fleet.process("h1").terminate().unwrap();
    let input = vec![b'h'; LARGE_BYTES];
    let read = read_slowly(&entry, "large", &input).await;
    assert!(read > LARGE_BYTES, "{read} of {LARGE_BYTES} bytes");
    let status = fleet.wait_for_exit("h1", WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{}", fleet.log_text("h1"));
}

/// Guards against requests that are taken late in a stop, and get no answer when its limit ends it, those that may run
/// once among them.
#[actix_rt::test]
async fn requests_that_come_late_in_a_stop_are_answered_at_its_limit() {
    let settings = "[answers]\nkeep = \"500ms\"\n\n[shutdown]\nlimit = \"1s\"\n";
    let mut fleet = start_slow_fleet(settings).await;
    for target in ["encode1", "encode2", "ledger1", "ledger2"] {
        let slow = json!({ "delay_ms": 8_000 });
        fleet.control_target(target, &slow).await.unwrap();
    }
    let entry = fleet.caller_address("h1");
    let caller = TestCaller::new();
    let ticket = caller.fetch_ticket(&entry, "farm").await.unwrap();
    fleet.process("h1").terminate().unwrap();
    actix_rt::time::sleep(Duration::from_millis(1_200)).await;
    let requests = [
        RunRequest::new("farm", "look", "look", b"hay"),
        RunRequest::new("farm", "pay", "pay", b"hay").with_ticket(ticket),
        RunRequest::new("farm", "read", "read", b"hay").streamed(),
    ];
    let runs = requests.map(|request| {
        let (caller, entry) = (caller.clone(), entry.clone());
        async move {
            caller
                .run(&entry, &request.within(Duration::from_secs(20)))
                .await
        }
    });
    for outcome in futures_util::future::join_all(runs).await {
        let report = outcome.failure();
        let report = report.unwrap_or_else(|| panic!("no answer: {outcome:?}"));
        assert_eq!(report.reason, FailureReason::Leaving, "{report:?}");
    }
    let status = fleet.wait_for_exit("h1", WAIT_TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(1), "{}", fleet.log_text("h1"));
}
