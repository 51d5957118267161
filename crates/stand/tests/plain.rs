//! Tests the simulated plain targets, which answer a call with one complete body while engines
//! stream tokens: their answers, injected faults, connections and postings. A posting is a
//! non-idempotent call; the target counts postings by request in a journal.

mod common;

use {
    base::{
        ATTEMPT_HEADER, AnswerDigest, DIGEST_HEADER, LENGTH_HEADER, NOT_RUN_HEADER, REQUEST_HEADER,
    },
    common::{STEP_TIMEOUT, StandCall, call, start},
    proofs::{JsonProbe, wait_until},
    serde_json::json,
    stand::{CallOutcome, CallRecord, EchoRule},
    std::collections::BTreeMap,
    tempfile::TempDir,
};

#[actix_rt::test]
async fn answer_is_complete_and_echoes_its_call() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let plain = start(folder.path(), &["plain", "--name", "p1"]).await?;
    let reply = call(&plain.address("calls"), &StandCall::default()).await?;
    assert_eq!(
        reply.body,
        EchoRule::new("farm", "r1", b"hay").plain_answer("encode")
    );
    assert_eq!(reply.header(ATTEMPT_HEADER), "1");
    assert_eq!(reply.header(LENGTH_HEADER), reply.body.len().to_string());
    assert_eq!(
        reply.header(DIGEST_HEADER),
        AnswerDigest::of(&reply.body).hex()
    );
    Ok(())
}

#[actix_rt::test]
async fn injected_faults_show_in_the_answer() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let plain = start(folder.path(), &["plain", "--name", "p1"]).await?;
    let address = plain.address("calls");
    let (probe, control_url) = (JsonProbe::new(), format!("http://{address}/control"));
    probe
        .post(&control_url, &json!({"wrong_identity": true}))
        .await?;
    let reply = call(&address, &StandCall::default()).await?;
    assert_eq!(reply.header(ATTEMPT_HEADER), "2");
    let cut_fault = json!({"wrong_identity": false, "cut_answer": true});
    probe.post(&control_url, &cut_fault).await?;
    let reply = call(&address, &StandCall::default()).await?;
    assert_ne!(
        reply.header(DIGEST_HEADER),
        AnswerDigest::of(&reply.body).hex()
    );
    probe.post(&control_url, &json!({"refuse": true})).await?;
    let reply = call(&address, &StandCall::default()).await?;
    assert_eq!((reply.status, reply.header(NOT_RUN_HEADER)), (503, "true"));
    let records: Vec<CallRecord> = probe.get(&format!("http://{address}/records")).await?;
    let outcomes: Vec<_> = records.iter().map(|record| record.outcome).collect();
    let expected = [CallOutcome::Done, CallOutcome::Done, CallOutcome::Refused];
    assert_eq!(outcomes, expected);
    assert!(
        probe
            .post(&control_url, &json!({"unknown": 1}))
            .await
            .is_err()
    );
    Ok(())
}

#[actix_rt::test]
async fn previous_reply_is_sent_again_for_another_request() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let plain = start(folder.path(), &["plain", "--name", "p1"]).await?;
    let address = plain.address("calls");
    let first = call(&address, &StandCall::default()).await?;
    let control_url = format!("http://{address}/control");
    let reply_twice = json!({"reply_twice": true});
    JsonProbe::new().post(&control_url, &reply_twice).await?;
    let other_call = StandCall {
        request: "r2",
        ..StandCall::default()
    };
    let second = call(&address, &other_call).await?;
    assert_eq!(second.body, first.body);
    assert_eq!(second.header(REQUEST_HEADER), "r1");
    Ok(())
}

/// Guards against a posting that is lost because the process crashes after it is applied and before
/// it is answered.
#[actix_rt::test]
async fn postings_are_counted_across_a_crash() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let journal = folder.path().join("journal").display().to_string();
    let arguments = ["plain", "--name", "p1", "--journal", &journal];
    let mut plain = start(folder.path(), &arguments).await?;
    let address = plain.address("calls");
    let posting = StandCall {
        name: "post",
        ..StandCall::default()
    };
    call(&address, &posting).await?;
    call(&address, &StandCall::default()).await?;
    let probe = JsonProbe::new();
    let control_url = format!("http://{address}/control");
    probe
        .post(&control_url, &json!({"die_after_work": true}))
        .await?;
    assert!(
        call(&address, &posting).await.is_err(),
        "the call was answered although the process was told to crash before that"
    );
    wait_until("the process ends", STEP_TIMEOUT, async || {
        plain.ended().is_some()
    })
    .await?;
    let plain = start(folder.path(), &arguments).await?;
    let url = format!("http://{}/postings", plain.address("calls"));
    let postings: BTreeMap<String, u64> = probe.get(&url).await?;
    assert_eq!(postings, BTreeMap::from([(String::from("farm/r1"), 2)]));
    Ok(())
}

#[actix_rt::test]
async fn crashing_input_ends_the_process() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let arguments = ["plain", "--name", "p1", "--delay-ms", "5000"];
    let mut plain = start(folder.path(), &arguments).await?;
    let crashing_call = StandCall {
        input: b"a crash-target here",
        ..StandCall::default()
    };
    assert!(call(&plain.address("calls"), &crashing_call).await.is_err());
    wait_until("the process ends", STEP_TIMEOUT, async || {
        plain.ended().is_some()
    })
    .await?;
    assert_eq!(plain.ended().and_then(|status| status.code()), Some(101));
    Ok(())
}

#[actix_rt::test]
async fn idle_connections_close_on_demand() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let plain = start(folder.path(), &["plain", "--name", "p1"]).await?;
    let address = plain.address("calls");
    let idle = std::net::TcpStream::connect(&address)?;
    idle.set_nonblocking(true)?;
    let idle = tokio::net::TcpStream::from_std(idle)?;
    let probe = JsonProbe::new();
    let control_url = format!("http://{address}/control");
    probe
        .post(&control_url, &json!({"close_pooled": true}))
        .await?;
    let mut byte = [0];
    let closed = async { idle.readable().await.map(|()| idle.try_read(&mut byte)) };
    let read = actix_rt::time::timeout(STEP_TIMEOUT, closed).await??;
    assert!(
        matches!(read, Ok(0) | Err(_)),
        "the connection is not closed: {read:?}"
    );
    Ok(())
}
