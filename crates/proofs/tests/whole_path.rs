//! A request is served end to end by separate processes.

use {
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller},
    sheet::PoolKind,
    stand::{EchoRule, EchoStage},
};

/// Two data centres and a pipeline of four stages that ends with a streamed answer.
fn four_stages() -> FleetPlan {
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

#[actix_rt::test]
async fn four_stages_are_served_whole() {
    let fleet = FleetHarness::start(four_stages()).await.unwrap();
    let caller = TestCaller::new();
    let answer = caller
        .fetch_addresses(&fleet.caller_address("h1"), "farm")
        .await
        .unwrap();
    assert_eq!(answer.addresses.len(), 2);
    let plain = |call: &str| EchoStage::Plain(call.to_string());
    let stages = [
        plain("encode"),
        plain("retrieve"),
        plain("rerank"),
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
