//! Model engines as processes.

mod common;

use {
    base::{AnswerDigest, StreamEvent},
    common::{LIMIT, StandCall, call, run, start},
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

#[test]
fn resumed_stream_has_the_digest_of_the_whole() {
    run(async {
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
        let answer = EchoRule::new("farm", "r1", PROMPT.input).stream();
        let end = StreamEvent::End {
            tokens: 12,
            length: answer.len() as u64,
            digest: AnswerDigest::of(&answer).hex(),
        };
        assert_eq!(whole.last(), Some(&end));
        Ok(())
    });
}

#[test]
fn stream_whose_caller_leaves_is_cancelled() {
    run(async {
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
    });
}

#[test]
fn urgent_stream_overtakes_those_that_wait() {
    run(async {
        let folder = TempDir::new()?;
        let arguments = ["engine", "--name", "e1", "--slots", "1", "--token-ms", "20"];
        let engine = start(folder.path(), &arguments).await?;
        let address = engine.address("calls");
        let (probe, url) = (JsonProbe::new(), format!("http://{address}/records"));
        let ended = |request: &'static str, priority: &'static str, position: usize| {
            let (address, probe, url) = (&address, &probe, &url);
            async move {
                wait_until("the calls before arrived", LIMIT, async || {
                    let records = probe.get::<Vec<CallRecord>>(url).await;
                    records.is_ok_and(|records| records.len() >= position)
                })
                .await?;
                let prompt = StandCall {
                    request,
                    priority,
                    ..PROMPT
                };
                call(address, &prompt).await?;
                anyhow::Ok(Instant::now())
            }
        };
        let (_, bulk, urgent) = tokio::try_join!(
            ended("r1", "normal", 0),
            ended("r2", "bulk", 1),
            ended("r3", "urgent", 2),
        )?;
        assert!(urgent < bulk);
        Ok(())
    });
}

#[test]
fn cached_prefix_skips_the_prefill() {
    run(async {
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
    });
}

#[test]
fn old_order_is_refused_where_orders_are_checked() {
    run(async {
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
    });
}
