//! The test caller accepts complete answers only: if it took a truncated or corrupt answer for a
//! complete one, the tests that rely on it would miss that fault.

use {
    awc::http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    base::{AnswerDigest, DIGEST_HEADER, FailureReason, LENGTH_HEADER, RunClaim, StreamEvent},
    proofs::{RunOutcome, RunRequest, TestCaller},
    room::ClientRoom,
    setup::{HttpLimits, HttpReply, json_reply, serve_http, text_reply},
    tokio::net::TcpListener,
};

/// Room for the connections of the server.
const ROOM_BYTES: usize = 16_000_000;

/// Returns the outcome of a request to a server that answers with this reply.
async fn outcome_of_reply(
    stream: bool,
    reply: impl Fn() -> HttpReply + Clone + 'static,
) -> RunOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_, closing) = tokio::sync::watch::channel(false);
    let handler = move |_| std::future::ready(reply());
    let server = actix_rt::spawn(serve_http(
        listener,
        HttpLimits::default(),
        ClientRoom::new(ROOM_BYTES),
        closing,
        handler,
    ));
    let mut request = RunRequest::new("farm", "read", "r1", b"hay");
    request.stream = stream;
    let outcome = TestCaller::new().run(&address, &request).await;
    server.abort();
    outcome
}

/// Returns an unstreamed answer with the length and digest of the declared text.
fn unary_reply(body: &str, declared: &str) -> HttpReply {
    let digest = AnswerDigest::of(declared.as_bytes());
    let mut reply = text_reply(StatusCode::OK, body);
    for (name, value) in [
        (LENGTH_HEADER, digest.length().to_string()),
        (DIGEST_HEADER, digest.hex()),
    ] {
        let value = HeaderValue::from_str(&value).unwrap();
        reply
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    reply
}

fn token_event(index: u64) -> StreamEvent {
    StreamEvent::Token {
        index,
        text: index.to_string(),
    }
}

fn end_event(tokens: u64, answer: &str) -> StreamEvent {
    StreamEvent::End {
        tokens,
        length: answer.len() as u64,
        digest: AnswerDigest::of(answer.as_bytes()).hex(),
    }
}

async fn outcome_of_stream(events: &[StreamEvent]) -> RunOutcome {
    let lines: Vec<u8> = events.iter().flat_map(StreamEvent::to_line).collect();
    let text = String::from_utf8(lines).unwrap();
    outcome_of_reply(true, move || text_reply(StatusCode::OK, text.clone())).await
}

/// Guards against accepting an unstreamed answer whose body does not match its length or digest
/// headers, or that has none.
#[actix_rt::test]
async fn unary_answer_is_checked() {
    let complete = outcome_of_reply(false, || unary_reply("hay", "hay")).await;
    assert_eq!(complete, RunOutcome::Complete(b"hay".to_vec()));
    for body in ["ha", "hey", "hay "] {
        let broken = outcome_of_reply(false, move || unary_reply(body, "hay")).await;
        assert!(
            matches!(broken, RunOutcome::Broken(_)),
            "{body}: {broken:?}"
        );
    }
    let without_check = outcome_of_reply(false, || text_reply(StatusCode::OK, "hay")).await;
    assert!(
        matches!(without_check, RunOutcome::Broken(_)),
        "{without_check:?}"
    );
}

/// Guards against taking an error status without a failure report for a failure with a verdict.
#[actix_rt::test]
async fn failure_needs_its_report() {
    let report = || RunClaim::new().refuse(FailureReason::Overloaded, "full");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let failed = outcome_of_reply(false, move || json_reply(status, &report())).await;
    assert_eq!(failed, RunOutcome::Failed(report()));
    assert!(failed.is_not_run());
    let without_report = outcome_of_reply(false, move || text_reply(status, "full")).await;
    assert!(
        matches!(without_report, RunOutcome::Broken(_)),
        "{without_report:?}"
    );
}

/// Guards against accepting a stream that has no final event, lacks or repeats a token, does not
/// match its announced count, length or digest, or goes on after its final event.
#[actix_rt::test]
async fn stream_is_checked() {
    let complete = outcome_of_stream(&[token_event(0), token_event(1), end_event(2, "01")]).await;
    assert_eq!(complete, RunOutcome::Complete(b"01".to_vec()));
    let report = RunClaim::new()
        .into_sent()
        .report_lost(FailureReason::TargetLost, "gone");
    let failed = StreamEvent::Failed {
        report: report.clone(),
    };
    assert_eq!(
        outcome_of_stream(&[token_event(0), failed]).await,
        RunOutcome::Failed(report)
    );
    for broken in [
        vec![],
        vec![token_event(0), token_event(1)],
        vec![token_event(0), token_event(0), end_event(2, "00")],
        vec![token_event(0), token_event(2), end_event(2, "02")],
        vec![token_event(0), end_event(2, "01")],
        vec![token_event(0), end_event(1, "1")],
        vec![token_event(0), end_event(1, "0"), token_event(1)],
        vec![token_event(0), end_event(1, "0"), end_event(1, "0")],
    ] {
        let outcome = outcome_of_stream(&broken).await;
        assert!(
            matches!(outcome, RunOutcome::Broken(_)),
            "{broken:?}: {outcome:?}"
        );
    }
}
