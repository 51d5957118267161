//! The test caller tells whole answers from all others.

use {
    awc::http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    base::{AnswerDigest, DIGEST_HEADER, FailureReason, LENGTH_HEADER, RunClaim, StreamEvent},
    proofs::{RunOutcome, RunRequest, TestCaller},
    setup::{HttpLimits, HttpReply, json_reply, serve_http, text_reply},
    tokio::net::TcpListener,
};

/// Outcome of a request to an entry that answers with this reply.
async fn outcome_of(stream: bool, reply: impl Fn() -> HttpReply + Clone + 'static) -> RunOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_, closing) = tokio::sync::watch::channel(false);
    let handler = move |_| std::future::ready(reply());
    let server = actix_rt::spawn(serve_http(
        listener,
        HttpLimits::default(),
        closing,
        handler,
    ));
    let mut request = RunRequest::new("farm", "read", "r1", b"hay");
    request.stream = stream;
    let outcome = TestCaller::new().run(&address, &request).await;
    server.abort();
    outcome
}

fn unary(body: &str, declared: &str) -> HttpReply {
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

fn token(index: u64) -> StreamEvent {
    StreamEvent::Token {
        index,
        text: index.to_string(),
    }
}

fn end(tokens: u64, answer: &str) -> StreamEvent {
    StreamEvent::End {
        tokens,
        length: answer.len() as u64,
        digest: AnswerDigest::of(answer.as_bytes()).hex(),
    }
}

async fn stream_of(events: &[StreamEvent]) -> RunOutcome {
    let lines: Vec<u8> = events.iter().flat_map(StreamEvent::to_line).collect();
    let text = String::from_utf8(lines).unwrap();
    outcome_of(true, move || text_reply(StatusCode::OK, text.clone())).await
}

#[actix_rt::test]
async fn unary_answer_is_checked() {
    let whole = outcome_of(false, || unary("hay", "hay")).await;
    assert_eq!(whole, RunOutcome::Complete(b"hay".to_vec()));
    for body in ["ha", "hey", "hay "] {
        let broken = outcome_of(false, move || unary(body, "hay")).await;
        assert!(
            matches!(broken, RunOutcome::Broken(_)),
            "{body}: {broken:?}"
        );
    }
    let bare = outcome_of(false, || text_reply(StatusCode::OK, "hay")).await;
    assert!(matches!(bare, RunOutcome::Broken(_)), "{bare:?}");
}

#[actix_rt::test]
async fn failure_needs_its_report() {
    let report = || RunClaim::new().refuse(FailureReason::Overloaded, "full");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let failed = outcome_of(false, move || json_reply(status, &report())).await;
    assert_eq!(failed, RunOutcome::Failed(report()));
    assert!(failed.is_not_run());
    let bare = outcome_of(false, move || text_reply(status, "full")).await;
    assert!(matches!(bare, RunOutcome::Broken(_)), "{bare:?}");
}

#[actix_rt::test]
async fn stream_is_checked() {
    let whole = stream_of(&[token(0), token(1), end(2, "01")]).await;
    assert_eq!(whole, RunOutcome::Complete(b"01".to_vec()));
    let report = RunClaim::new()
        .into_sent()
        .report_lost(FailureReason::TargetLost, "gone");
    let failed = StreamEvent::Failed {
        report: report.clone(),
    };
    assert_eq!(
        stream_of(&[token(0), failed]).await,
        RunOutcome::Failed(report)
    );
    for broken in [
        vec![],
        vec![token(0), token(1)],
        vec![token(0), token(0), end(2, "00")],
        vec![token(0), token(2), end(2, "02")],
        vec![token(0), end(2, "01")],
        vec![token(0), end(1, "1")],
        vec![token(0), end(1, "0"), token(1)],
        vec![token(0), end(1, "0"), end(1, "0")],
    ] {
        let outcome = stream_of(&broken).await;
        assert!(
            matches!(outcome, RunOutcome::Broken(_)),
            "{broken:?}: {outcome:?}"
        );
    }
}
