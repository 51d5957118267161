//! An answer is complete or recognisably cut or failed, and a caller that reads slowly or leaves
//! takes no memory, time or engine from others.

use {
    base::{
        CREDENTIAL_HEADER, CUSTOMER_HEADER, REMAINING_HEADER, REQUEST_HEADER, RunVerdict,
        STREAM_HEADER, StreamEvent,
    },
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller, wait_until},
    serde_json::json,
    stand::{CallOutcome, EchoRule, EchoStage},
    std::{
        fs,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
    },
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(15);
const ENGINES: [&str; 2] = ["model1", "model2"];
/// Number of streams that run beside each other.
const STREAMS_AT_ONCE: u64 = 6;
/// Time within which an engine that dies has exited.
const EXIT_DELAY: Duration = Duration::from_secs(1);
/// Memory that an entry may use in total, in bytes.
const MAX_MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// Number of tokens of an answer that its caller does not read.
const UNREAD_TOKENS: u64 = 300_000;

/// Returns the expected answer of the pipeline `read`.
fn expected_answer(request: &str, input: &[u8]) -> Vec<u8> {
    let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
    EchoRule::pipeline_answer("farm", request, input, &stages)
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1024
}

/// Sends a streamed request on a connection with a small receive buffer and reads nothing; returns
/// the connection.
async fn send_without_reading(entry: &str, id: &str, input: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(entry.parse().unwrap()).await.unwrap();
    let credential = FleetPlan::credential("farm");
    let head = format!(
        "POST /run/read HTTP/1.1\r\nhost: {entry}\r\n{CUSTOMER_HEADER}: farm\r\n\
         {CREDENTIAL_HEADER}: {credential}\r\n{REQUEST_HEADER}: {id}\r\n\
         {REMAINING_HEADER}: 20000\r\n{STREAM_HEADER}: true\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{input}",
        input.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Returns the outcomes of all calls that the engines recorded for a request.
async fn engine_outcomes(fleet: &FleetHarness, id: &str) -> Vec<CallOutcome> {
    let mut outcomes = Vec::new();
    for engine in ENGINES {
        let records = fleet.call_records(engine).await.unwrap_or_default();
        let request_records = records.iter().filter(|record| record.call.request == id);
        outcomes.extend(request_records.map(|record| record.outcome));
    }
    outcomes
}

/// Runs streams beside each other, each of which must be answered whole.
async fn assert_whole_streams(entry: &str, ids: impl Iterator<Item = u64>) {
    let caller = TestCaller::new();
    let runs = ids.map(|number| {
        let (caller, entry) = (caller.clone(), entry.to_string());
        actix_rt::spawn(async move {
            let id = format!("r{number}");
            let request = RunRequest::new("farm", "read", &id, b"hay tokens=30").streamed();
            (id, caller.run(&entry, &request).await)
        })
    });
    for run in runs.collect::<Vec<_>>() {
        let (id, outcome) = run.await.unwrap();
        let expected = expected_answer(&id, b"hay tokens=30");
        assert_eq!(
            outcome.complete_answer(),
            Some(expected.as_slice()),
            "{outcome:?}"
        );
    }
}

/// Guards against streams that are cut, or repeat or lose tokens, when an engine dies in the middle
/// of them and another engine continues them.
#[actix_rt::test]
async fn stream_resumes_on_another_engine() {
    let mut fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    fleet
        .control_target("model1", &json!({ "die_after_tokens": 7 }))
        .await
        .unwrap();
    let entry = fleet.caller_address("h1");
    // Which engine runs a stream follows from its prompt: all of one round may run on the other one.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut first_id = 0;
    loop {
        assert_whole_streams(&entry, first_id..first_id + STREAMS_AT_ONCE).await;
        first_id += STREAMS_AT_ONCE;
        match fleet.wait_for_exit("model1", EXIT_DELAY).await {
            Ok(_) => return,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
    }
}

/// Guards against a stream that looks complete, or is reported as not run, when all engines die in
/// the middle of it.
#[actix_rt::test]
async fn stream_without_another_engine_ends_with_a_failure() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    for engine in ENGINES {
        fleet
            .control_target(engine, &json!({ "die_after_tokens": 4 }))
            .await
            .unwrap();
    }
    let request = RunRequest::new("farm", "read", "r1", b"hay tokens=30").streamed();
    let outcome = TestCaller::new()
        .run(&fleet.caller_address("h1"), &request)
        .await;
    let report = outcome.failure().unwrap();
    assert_ne!(report.verdict, RunVerdict::NotRun, "{report:?}");
}

/// Guards against a stream that looks complete after its entry is killed: a closed connection alone
/// must not count as the end of an answer.
#[actix_rt::test]
async fn stream_of_a_killed_entry_is_recognised_as_cut() {
    let mut fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    for engine in ENGINES {
        fleet
            .control_target(engine, &json!({ "token_ms": 20 }))
            .await
            .unwrap();
    }
    let request = RunRequest::new("farm", "read", "r1", b"hay tokens=100").streamed();
    let caller = TestCaller::new();
    let mut stream = caller
        .open_stream(&fleet.caller_address("h1"), &request)
        .await
        .unwrap();
    for _ in 0..3 {
        assert!(stream.next().await.unwrap().is_some());
    }
    fleet.process_mut("h1").kill().unwrap();
    assert!(stream.read_outcome().await.is_err());
}

/// Guards against an entry that buffers long answers without bound, or stops serving others,
/// because callers do not read their streams. The entry must give such streams up and cancel their
/// calls.
#[actix_rt::test]
async fn unread_streams_take_bounded_memory_and_delay_no_one() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    for engine in ENGINES {
        fleet
            .control_target(engine, &json!({ "token_ms": 0.0 }))
            .await
            .unwrap();
    }
    let entry = fleet.caller_address("h1");
    let input = format!("hay tokens={UNREAD_TOKENS}");
    let mut unread_streams = Vec::new();
    for number in 0..3 {
        unread_streams.push(send_without_reading(&entry, &format!("slow{number}"), &input).await);
    }
    let caller = TestCaller::new();
    for number in 0..20 {
        let id = format!("r{number}");
        let request = RunRequest::new("farm", "read", &id, b"hay").streamed();
        let outcome = caller.run(&entry, &request).await;
        assert_eq!(
            outcome.complete_answer(),
            Some(expected_answer(&id, b"hay").as_slice()),
            "{outcome:?}"
        );
        let memory_bytes = resident_bytes(fleet.process("h1").id());
        assert!(
            memory_bytes < MAX_MEMORY_BYTES,
            "{memory_bytes} bytes are resident"
        );
    }
    wait_until(
        "the calls of the first unread stream have ended",
        WAIT_TIMEOUT,
        async || {
            let outcomes = engine_outcomes(&fleet, "slow0").await;
            !outcomes.is_empty()
                && outcomes
                    .iter()
                    .all(|outcome| *outcome != CallOutcome::Running)
        },
    )
    .await
    .unwrap();
    let mut rest = Vec::new();
    let _ = unread_streams[0].read_to_end(&mut rest).await;
    let text = String::from_utf8_lossy(&rest);
    assert!(
        !text.contains(r#""event":"end""#),
        "a stream that was given up must have no final event"
    );
}

/// Guards against an engine that goes on generating after the caller has closed its connection.
#[actix_rt::test]
async fn caller_that_leaves_frees_its_engine() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    for engine in ENGINES {
        fleet
            .control_target(engine, &json!({ "token_ms": 20 }))
            .await
            .unwrap();
    }
    let request = RunRequest::new("farm", "read", "r1", b"hay tokens=1000")
        .streamed()
        .within(Duration::from_secs(25));
    let caller = TestCaller::new();
    let mut stream = caller
        .open_stream(&fleet.caller_address("h1"), &request)
        .await
        .unwrap();
    assert!(matches!(
        stream.next().await.unwrap(),
        Some(StreamEvent::Token { .. })
    ));
    drop(stream);
    drop(caller);
    wait_until(
        "the engine's call is cancelled",
        Duration::from_secs(3),
        async || engine_outcomes(&fleet, "r1").await == [CallOutcome::Cancelled],
    )
    .await
    .unwrap();
}

/// Guards against taking a caller that shuts down only its sending side for one that has left.
#[actix_rt::test]
async fn half_closed_caller_gets_its_answer() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    let mut stream = send_without_reading(&fleet.caller_address("h1"), "r1", "hay tokens=20").await;
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.contains(r#""event":"end""#), "{answer}");
}

/// Guards against an entry that holds a request until its deadline although every target refuses
/// it.
#[actix_rt::test]
async fn failure_is_answered_at_once() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    for encoder in ["encode1", "encode2"] {
        fleet
            .control_target(encoder, &json!({ "refuse": true }))
            .await
            .unwrap();
    }
    let mut request = RunRequest::new("farm", "look", "r1", b"hay");
    request.remaining = Duration::from_secs(20);
    let run = async {
        TestCaller::new()
            .run(&fleet.caller_address("h1"), &request)
            .await
    };
    let outcome = actix_rt::time::timeout(Duration::from_secs(2), run)
        .await
        .unwrap();
    let RunOutcome::Failed(report) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(report.verdict, RunVerdict::NotRun);
    assert!(report.retry_after_ms.is_some(), "{report:?}");
}
