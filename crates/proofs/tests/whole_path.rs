//! A request runs through entry, encoder, retriever, reranker and engine processes and back to its
//! caller.

use {
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller},
    sheet::PoolKind,
    stand::{EchoRule, EchoStage},
};

/// Returns a plan with two entries in different data centres and one pipeline of four stages, the
/// last of which runs on an engine.
fn four_stage_plan() -> FleetPlan {
    FleetPlan::new(2)
        .pool("encoders", PoolKind::Plain, &[])
        .pool("retrievers", PoolKind::Plain, &[])
        .pool("rerankers", PoolKind::Plain, &[])
        .pool("engines", PoolKind::Engine, &[])
        .pipeline(
            "read",
            &[
                ("encoders", "encode"),
                ("retrievers", "retrieve"),
                ("rerankers", "rerank"),
                ("engines", "generate"),
            ],
        )
        .customer("farm", 1)
        .target("encoder1", "encoders", 8, &[])
        .target("retriever1", "retrievers", 8, &[])
        .target("reranker1", "rerankers", 8, &[])
        .target("engine1", "engines", 8, &[])
}

/// Guards against answers that are wrong or incomplete because a stage is left out, run out of
/// order or given the wrong input, at each entry and both with and without streaming.
#[actix_rt::test]
async fn four_stages_return_a_complete_answer() {
    let fleet = FleetHarness::start(four_stage_plan()).await.unwrap();
    let caller = TestCaller::new();
    let answer = caller
        .fetch_addresses(&fleet.caller_address("h1"), "farm")
        .await
        .unwrap();
    assert_eq!(answer.addresses.len(), 2);
    let plain_stage = |call: &str| EchoStage::Plain(call.to_string());
    let stages = [
        plain_stage("encode"),
        plain_stage("retrieve"),
        plain_stage("rerank"),
        EchoStage::Engine,
    ];
    for (number, entry) in answer.addresses.iter().enumerate() {
        for stream in [false, true] {
            let id = format!("r{number}{stream}");
            let mut request = RunRequest::new("farm", "read", &id, b"hay tokens=20");
            request.stream = stream;
            let outcome = caller.run(&entry.address, &request).await;
            let expected = EchoRule::pipeline_answer("farm", &id, b"hay tokens=20", &stages);
            assert_eq!(
                outcome.complete_answer(),
                Some(expected.as_slice()),
                "{outcome:?}"
            );
        }
    }
}
