//! Engine processes: streams, batch slots, prefix cache and orders.

mod common;

use {
    base::{AnswerDigest, StreamEvent},
    common::{STEP_TIMEOUT, StandCall, call, start},
    proofs::{JsonProbe, wait_until},
    serde_json::json,
    stand::{CallOutcome, CallRecord, EchoRule, EngineState},
    std::time::{Duration, Instant},
    tempfile::TempDir,
};

/// Call whose answer has 12 tokens.
const PROMPT: StandCall = StandCall {
    name: "generate",
    request: "r1",
    priority: "normal",
    resume_at: 0,
    input: b"hay tokens=12",
};

/// Guards against a resumed stream whose end states the digest of the resumed tokens alone: a
/// reader that joins both pieces would reject a whole answer.
#[actix_rt::test]
async fn resumed_stream_has_the_digest_of_the_whole_answer() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let engine = start(folder.path(), &["engine", "--name", "e1"]).await?;
    let address = engine.address("calls");
    let whole_events = call(&address, &PROMPT).await?.events();
    let resumed_call = StandCall {
        resume_at: 5,
        ..PROMPT
    };
    let resumed_events = call(&address, &resumed_call).await?.events();
    assert_eq!(whole_events.last(), resumed_events.last());
    assert_eq!(
        whole_events[6..],
        resumed_events[1..],
        "the tokens after the fifth"
    );
    let answer = EchoRule::new("farm", "r1", PROMPT.input).engine_answer();
    let end = StreamEvent::End {
        tokens: 12,
        length: answer.len() as u64,
        digest: AnswerDigest::of(&answer).hex(),
    };
    assert_eq!(whole_events.last(), Some(&end));
    Ok(())
}

#[actix_rt::test]
async fn stream_whose_caller_leaves_is_cancelled() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let arguments = ["engine", "--name", "e1", "--token-ms", "20"];
    let engine = start(folder.path(), &arguments).await?;
    let address = engine.address("calls");
    let long_call = StandCall {
        input: b"tokens=100000",
        ..PROMPT
    };
    let abandoned_call = call(&address, &long_call);
    let outcome = actix_rt::time::timeout(Duration::from_millis(200), abandoned_call).await;
    assert!(outcome.is_err(), "the call ended before its caller left");
    let (probe, url) = (JsonProbe::new(), format!("http://{address}/records"));
    wait_until("the call is cancelled", STEP_TIMEOUT, async || {
        let records = probe.get::<Vec<CallRecord>>(&url).await.unwrap_or_default();
        records
            .iter()
            .any(|record| record.outcome == CallOutcome::Cancelled)
    })
    .await
}

/// Guards against a stream that waits for a slot and is not recorded as cancelled when its caller
/// leaves, while the stream that holds the slot must go on.
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
    let long_call = StandCall {
        input: b"tokens=100000",
        ..PROMPT
    };
    let call_and_leave = |timeout| {
        let (address, long_call) = (&address, &long_call);
        async move { actix_rt::time::timeout(timeout, call(address, long_call)).await }
    };
    tokio::select! {
        _ = call_and_leave(STEP_TIMEOUT) => panic!("the first stream ended"),
        outcome = async {
            wait_until("the first stream runs", STEP_TIMEOUT, async || outcomes().await.len() == 1)
                .await?;
            let outcome = call_and_leave(Duration::from_millis(200)).await;
            assert!(outcome.is_err(), "the second call ended before its caller left");
            let expected = [CallOutcome::Running, CallOutcome::Cancelled];
            wait_until("the call is cancelled", STEP_TIMEOUT, async || outcomes().await == expected)
                .await
        } => outcome,
    }
}

#[actix_rt::test]
async fn urgent_stream_overtakes_waiting_ones() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let engine = start(folder.path(), &["engine", "--name", "e1", "--slots", "1"]).await?;
    let address = engine.address("calls");
    let (probe, url) = (JsonProbe::new(), format!("http://{address}/records"));
    let wait_for_calls = async |count: usize| {
        wait_until("the calls arrived", STEP_TIMEOUT, async || {
            let records = probe.get::<Vec<CallRecord>>(&url).await;
            records.is_ok_and(|records| records.len() == count)
        })
        .await
    };
    let new_call = |request, priority, input| StandCall {
        request,
        priority,
        input,
        ..PROMPT
    };
    let slot_holder = new_call("r1", "normal", b"tokens=100000");
    let holder_task = actix_rt::spawn({
        let address = address.clone();
        async move { call(&address, &slot_holder).await.map(|_| ()) }
    });
    wait_for_calls(1).await?;
    let end_time = async |request, priority| {
        call(&address, &new_call(request, priority, PROMPT.input)).await?;
        anyhow::Ok(Instant::now())
    };
    let (bulk_end, urgent_end, ()) = tokio::try_join!(
        end_time("r2", "bulk"),
        async {
            wait_for_calls(2).await?;
            end_time("r3", "urgent").await
        },
        async {
            wait_for_calls(3).await?;
            holder_task.abort();
            Ok(())
        },
    )?;
    assert!(urgent_end < bulk_end);
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
    let started = Instant::now();
    call(&address, &PROMPT).await?;
    let uncached_time = started.elapsed();
    call(&address, &PROMPT).await?;
    let cached_time = started.elapsed() - uncached_time;
    assert!(
        uncached_time >= Duration::from_millis(400),
        "prefill: {uncached_time:?}"
    );
    assert!(
        cached_time < uncached_time,
        "{cached_time:?} after {uncached_time:?}"
    );
    Ok(())
}

/// An engine that checks orders refuses one with a lower fencing token, and another order with the
/// same token, but accepts a repetition; one that does not check them applies all.
#[actix_rt::test]
async fn stale_order_is_refused_where_orders_are_checked() -> anyhow::Result<()> {
    for checks_orders in [true, false] {
        let folder = TempDir::new()?;
        let mut arguments = vec!["engine", "--name", "e1"];
        arguments.extend(checks_orders.then_some("--checks-orders"));
        let engine = start(folder.path(), &arguments).await?;
        let engine_url = format!("http://{}/engine", engine.address("calls"));
        let (probe, order_url) = (JsonProbe::new(), format!("{engine_url}/order"));
        let order = json!({"fence": 7, "models": ["m"], "role": "serve"});
        probe.post(&order_url, &order).await?;
        probe.post(&order_url, &order).await?;
        let stale_order = json!({"fence": 6, "models": ["n"], "role": "serve"});
        assert_eq!(
            probe.post(&order_url, &stale_order).await.is_err(),
            checks_orders
        );
        let other_order = json!({"fence": 7, "models": ["o"], "role": "serve"});
        assert_eq!(
            probe.post(&order_url, &other_order).await.is_err(),
            checks_orders
        );
        wait_until("the model is loaded", STEP_TIMEOUT, async || {
            let state: anyhow::Result<EngineState> = probe.get(&engine_url).await;
            let model = if checks_orders { "m" } else { "o" };
            state.is_ok_and(|state| state.models == [model] && state.fence == 7)
        })
        .await?;
    }
    Ok(())
}
