//! An answer is whole or says that it is not; whoever is slow or leaves harms nobody.

use {
    base::{
        CREDENTIAL_HEADER, CUSTOMER_HEADER, REMAINING_HEADER, REQUEST_HEADER, RunVerdict,
        STREAM_HEADER, StreamEvent,
    },
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller, wait_until},
    serde_json::json,
    stand::{CallOutcome, EchoRule, EchoStage},
    std::{fs, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
    },
};

const LIMIT: Duration = Duration::from_secs(15);
const ENGINES: [&str; 2] = ["model1", "model2"];
/// Memory that a daemon may use for control and callers together, in bytes.
const MEMORY_BOUND: u64 = 256 * 1024 * 1024;
/// Bytes that the unread answer would take.
const UNREAD_TOKENS: u64 = 300_000;

/// Right answer of the pipeline `read`.
fn read_answer(request: &str, input: &[u8]) -> Vec<u8> {
    let stages = [EchoStage::Plain(String::from("encode")), EchoStage::Engine];
    EchoRule::pipeline_answer("farm", request, input, &stages)
}

/// Resident memory of a process in bytes.
fn resident(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kilobytes * 1024
}

/// A connection on which a streamed request was sent and nothing is read yet.
async fn raw_request(entry: &str, id: &str, input: &str) -> TcpStream {
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

/// How the engines' calls for a request stand.
async fn engine_outcomes(fleet: &FleetHarness, id: &str) -> Vec<CallOutcome> {
    let mut outcomes = Vec::new();
    for engine in ENGINES {
        let records = fleet.call_records(engine).await.unwrap_or_default();
        let own = records.iter().filter(|record| record.call.request == id);
        outcomes.extend(own.map(|record| record.outcome));
    }
    outcomes
}

#[actix_rt::test]
async fn stream_resumes_on_another_engine() {
    let mut fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    fleet
        .control_target("model1", &json!({ "die_after_tokens": 7 }))
        .await
        .unwrap();
    let caller = TestCaller::new();
    let entry = fleet.caller_address("h1");
    let runs = (0..6).map(|number| {
        let (caller, entry) = (caller.clone(), entry.clone());
        actix_rt::spawn(async move {
            let id = format!("r{number}");
            let request = RunRequest::new("farm", "read", &id, b"hay tokens=30").streamed();
            (id, caller.run(&entry, &request).await)
        })
    });
    for run in runs.collect::<Vec<_>>() {
        let (id, outcome) = run.await.unwrap();
        let expected = read_answer(&id, b"hay tokens=30");
        assert_eq!(
            outcome.complete_answer(),
            Some(expected.as_slice()),
            "{outcome:?}"
        );
    }
    fleet.wait_for_exit("model1", LIMIT).await.unwrap();
}

#[actix_rt::test]
async fn stream_without_another_engine_says_that_it_is_cut() {
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

#[actix_rt::test]
async fn killed_entry_leaves_no_stream_that_looks_whole() {
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

#[actix_rt::test]
async fn slow_reader_bounds_memory_and_starves_nobody() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    for engine in ENGINES {
        fleet
            .control_target(engine, &json!({ "token_ms": 0.0 }))
            .await
            .unwrap();
    }
    let entry = fleet.caller_address("h1");
    let input = format!("hay tokens={UNREAD_TOKENS}");
    let mut unread = Vec::new();
    for number in 0..3 {
        unread.push(raw_request(&entry, &format!("slow{number}"), &input).await);
    }
    let caller = TestCaller::new();
    for number in 0..20 {
        let id = format!("r{number}");
        let request = RunRequest::new("farm", "read", &id, b"hay").streamed();
        let outcome = caller.run(&entry, &request).await;
        assert_eq!(
            outcome.complete_answer(),
            Some(read_answer(&id, b"hay").as_slice()),
            "{outcome:?}"
        );
        let memory = resident(fleet.process("h1").id());
        assert!(memory < MEMORY_BOUND, "{memory} bytes");
    }
    wait_until("the unread streams are given up", LIMIT, async || {
        let outcomes = engine_outcomes(&fleet, "slow0").await;
        !outcomes.is_empty()
            && outcomes
                .iter()
                .all(|outcome| *outcome != CallOutcome::Running)
    })
    .await
    .unwrap();
    let mut rest = Vec::new();
    let _ = unread[0].read_to_end(&mut rest).await;
    let text = String::from_utf8_lossy(&rest);
    assert!(
        !text.contains(r#""event":"end""#),
        "a stream that was given up has no end"
    );
}

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

#[actix_rt::test]
async fn half_closed_caller_gets_its_answer() {
    let fleet = FleetHarness::start(FleetPlan::small(1)).await.unwrap();
    let mut stream = raw_request(&fleet.caller_address("h1"), "r1", "hay tokens=20").await;
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.contains(r#""event":"end""#), "{answer}");
}

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
