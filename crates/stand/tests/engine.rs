//! Model engines as processes.

mod common;

use {
    base::{AnswerDigest, StreamEvent},
    common::{LIMIT, StandCall, call, start},
    proofs::{JsonProbe, wait_until},
    serde_json::json,
    stand::{CallOutcome, CallRecord, EchoRule, EngineState},
    std::time::{Duration, Instant},
    tempfile::TempDir,
};

const PROMPT: StandCall = StandCall {
    name: "generate",
    request: "r1",
    priority: "normal",
    resume_at: 0,
    input: b"hay tokens=12",
};

#[actix_rt::test]
async fn resumed_stream_has_the_digest_of_the_whole() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let engine = start(folder.path(), &["engine", "--name", "e1"]).await?;
    let address = engine.address("calls");
    let whole = call(&address, &PROMPT).await?.events();
    let resumed = StandCall {
        resume_at: 5,
        ..PROMPT
    };
    let resumed = call(&address, &resumed).await?.events();
    assert_eq!(whole.last(), resumed.last());
    assert_eq!(whole[6..], resumed[1..], "the tokens after the fifth");
    let answer = EchoRule::new("farm", "r1", PROMPT.input).engine_answer();
    let end = StreamEvent::End {
        tokens: 12,
        length: answer.len() as u64,
        digest: AnswerDigest::of(&answer).hex(),
    };
    assert_eq!(whole.last(), Some(&end));
    Ok(())
}

#[actix_rt::test]
async fn stream_whose_caller_leaves_is_cancelled() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let arguments = ["engine", "--name", "e1", "--token-ms", "20"];
    let engine = start(folder.path(), &arguments).await?;
    let address = engine.address("calls");
    let long = StandCall {
        input: b"tokens=100000",
        ..PROMPT
    };
    let left = call(&address, &long);
    let left = actix_rt::time::timeout(Duration::from_millis(200), left).await;
    assert!(left.is_err(), "the caller left first");
    let (probe, url) = (JsonProbe::new(), format!("http://{address}/records"));
    wait_until("it is cancelled", LIMIT, async || {
        let records = probe.get::<Vec<CallRecord>>(&url).await.unwrap_or_default();
        records
            .iter()
            .any(|record| record.outcome == CallOutcome::Cancelled)
    })
    .await
}

#[actix_rt::test]
async fn waiting_stream_whose_caller_leaves_is_cancelled() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let engine = start(folder.path(), &["engine", "--name", "e1", "--slots", "1"]).await?;
    let address = engine.address("calls");
    let (probe, url) = (JsonProbe::new(), format!("http://{address}/records"));
    let outcomes = async || {
        let records = probe.get::<Vec<CallRecord>>(&url).await.unwrap_or_default();
        let outcomes = records.iter().map(|record| record.outcome);
        outcomes.collect::<Vec<_>>()
    };
    let long = StandCall {
        input: b"tokens=100000",
        ..PROMPT
    };
    let leave = |limit| {
        let (address, long) = (&address, &long);
        async move { actix_rt::time::timeout(limit, call(address, long)).await }
    };
    tokio::select! {
        _ = leave(LIMIT) => panic!("the first stream goes on"),
        outcome = async {
            wait_until("it runs", LIMIT, async || outcomes().await.len() == 1).await?;
            let left = leave(Duration::from_millis(200)).await;
            assert!(left.is_err(), "the caller of the second left first");
            let right = [CallOutcome::Running, CallOutcome::Cancelled];
            wait_until("it is cancelled", LIMIT, async || outcomes().await == right).await
        } => outcome,
    }
}

#[actix_rt::test]
async fn urgent_stream_overtakes_those_that_wait() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let engine = start(folder.path(), &["engine", "--name", "e1", "--slots", "1"]).await?;
    let address = engine.address("calls");
    let (probe, url) = (JsonProbe::new(), format!("http://{address}/records"));
    let seen = async |number: usize| {
        wait_until("the calls arrived", LIMIT, async || {
            let records = probe.get::<Vec<CallRecord>>(&url).await;
            records.is_ok_and(|records| records.len() == number)
        })
        .await
    };
    let prompt = |request, priority, input| StandCall {
        request,
        priority,
        input,
        ..PROMPT
    };
    let first = prompt("r1", "normal", b"tokens=100000");
    let holder = actix_rt::spawn({
        let address = address.clone();
        async move { call(&address, &first).await.map(|_| ()) }
    });
    seen(1).await?;
    let timed = async |request, priority| {
        call(&address, &prompt(request, priority, PROMPT.input)).await?;
        anyhow::Ok(Instant::now())
    };
    let (bulk, urgent, ()) = tokio::try_join!(
        timed("r2", "bulk"),
        async {
            seen(2).await?;
            timed("r3", "urgent").await
        },
        async {
            seen(3).await?;
            holder.abort();
            Ok(())
        },
    )?;
    assert!(urgent < bulk);
    Ok(())
}

#[actix_rt::test]
async fn cached_prefix_skips_the_prefill() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let arguments = [
        "engine",
        "--name",
        "e1",
        "--prefill-ms",
        "400",
        "--token-ms",
        "1",
    ];
    let engine = start(folder.path(), &arguments).await?;
    let address = engine.address("calls");
    let before = Instant::now();
    call(&address, &PROMPT).await?;
    let first = before.elapsed();
    call(&address, &PROMPT).await?;
    let second = before.elapsed() - first;
    assert!(first >= Duration::from_millis(400), "prefill: {first:?}");
    assert!(second < first, "{second:?} after {first:?}");
    Ok(())
}

#[actix_rt::test]
async fn old_order_is_refused_where_orders_are_checked() -> anyhow::Result<()> {
    for checks in [true, false] {
        let folder = TempDir::new()?;
        let mut arguments = vec!["engine", "--name", "e1"];
        arguments.extend(checks.then_some("--checks-orders"));
        let engine = start(folder.path(), &arguments).await?;
        let base = format!("http://{}/engine", engine.address("calls"));
        let (probe, url) = (JsonProbe::new(), format!("{base}/order"));
        let order = json!({"fence": 7, "models": ["m"], "role": "serve"});
        probe.post(&url, &order).await?;
        probe.post(&url, &order).await?;
        let older = json!({"fence": 6, "models": ["n"], "role": "serve"});
        assert_eq!(probe.post(&url, &older).await.is_err(), checks);
        let other = json!({"fence": 7, "models": ["o"], "role": "serve"});
        assert_eq!(probe.post(&url, &other).await.is_err(), checks);
        wait_until("the model is loaded", LIMIT, async || {
            let state: anyhow::Result<EngineState> = probe.get(&base).await;
            let model = if checks { "m" } else { "o" };
            state.is_ok_and(|state| state.models == [model] && state.fence == 7)
        })
        .await?;
    }
    Ok(())
}
