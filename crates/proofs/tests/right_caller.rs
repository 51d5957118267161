//! Every caller gets the complete answer to its own request or a failure, even if targets answer
//! late, twice, incompletely or under a wrong identity.

use {
    proofs::{FleetHarness, FleetPlan, RunOutcome, RunRequest, TestCaller},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::json,
    stand::{DirectionFault, EchoRule, EchoStage, ProxyFault},
    std::time::Duration,
};

const SEED: u64 = 0x3a11;
const TARGETS: [&str; 6] = [
    "encode1", "encode2", "ledger1", "ledger2", "model1", "model2",
];
const CUSTOMERS: [&str; 2] = ["farm", "show"];
/// Number of requests of one round.
const ROUND_SIZE: usize = 60;

/// Returns the stages of the pipeline `look` or `read`.
fn pipeline_stages(pipeline: &str) -> Vec<EchoStage> {
    let encode = EchoStage::Plain(String::from("encode"));
    match pipeline {
        "look" => vec![encode],
        _ => vec![encode, EchoStage::Engine],
    }
}

/// Sends a round of requests at the same time and checks that each gets its own complete answer or
/// a failure report. Both customers use the same request ids with different inputs. Returns the
/// number of complete answers.
async fn send_round(fleet: &FleetHarness, round: usize, random: &mut ChaCha8Rng) -> usize {
    let caller = TestCaller::new();
    let mut runs = Vec::new();
    for number in 0..ROUND_SIZE {
        let customer = CUSTOMERS[number % 2];
        let pipeline = ["look", "read"][random.random_range(0..2)];
        let id = format!("round{round}-{}", number / 2);
        let input = format!(
            "input of {customer} {number} tokens={}",
            random.random_range(1..20)
        );
        let mut request = RunRequest::new(customer, pipeline, &id, input.as_bytes())
            .within(Duration::from_millis(1_500));
        request.stream = random.random();
        let entry = fleet.caller_address(["h1", "h2"][random.random_range(0..2)]);
        let caller = caller.clone();
        runs.push(actix_rt::spawn(async move {
            let outcome = caller.run(&entry, &request).await;
            let expected = EchoRule::pipeline_answer(
                customer,
                &id,
                input.as_bytes(),
                &pipeline_stages(pipeline),
            );
            (id, expected, outcome)
        }));
    }
    let mut complete_count = 0;
    for run in runs {
        let (id, expected, outcome) = run.await.unwrap();
        match outcome {
            RunOutcome::Complete(answer) => {
                assert!(answer == expected, "{id} got the answer to another request");
                complete_count += 1;
            }
            RunOutcome::Failed(_) => {}
            RunOutcome::Broken(text) => panic!("{id}: {text}"),
        }
    }
    complete_count
}

/// Guards against answers that reach another caller or are cut, when targets answer with an old
/// reply, a wrong attempt number or half an answer, answers come out of order, or pooled
/// connections close.
#[actix_rt::test]
async fn callers_get_complete_answers_to_their_own_requests() {
    let fleet = FleetHarness::start(FleetPlan::small(2).proxied())
        .await
        .unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    assert_eq!(send_round(&fleet, 0, &mut random).await, ROUND_SIZE);
    let delay = DirectionFault {
        delay_ms: 30,
        ..DirectionFault::default()
    };
    let faults = [
        (json!({ "reply_twice": true }), ProxyFault::default()),
        (json!({ "wrong_identity": true }), ProxyFault::default()),
        (json!({ "cut_answer": true }), ProxyFault::default()),
        (
            json!({ "spread": 0.9 }),
            ProxyFault {
                from: delay,
                ..ProxyFault::default()
            },
        ),
        (json!({ "close_pooled": true }), ProxyFault::default()),
    ];
    for (number, (patch, fault)) in faults.into_iter().enumerate() {
        for target in TARGETS {
            fleet.control_target(target, &patch).await.unwrap();
            fleet.set_proxy_fault(target, &fault).await.unwrap();
        }
        send_round(&fleet, number + 1, &mut random).await;
        let no_fault = json!({
            "reply_twice": false, "wrong_identity": false, "cut_answer": false, "spread": 0.0,
        });
        for target in TARGETS {
            fleet.control_target(target, &no_fault).await.unwrap();
            fleet
                .set_proxy_fault(target, &ProxyFault::default())
                .await
                .unwrap();
        }
    }
}

/// Guards against answers that are mixed up when a target is killed and a new process listens on
/// the same port, to which entries may still have pooled connections.
#[actix_rt::test]
async fn targets_restarted_on_their_port_mix_up_no_answers() {
    let mut fleet = FleetHarness::start(FleetPlan::small(2)).await.unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    for round in 0..4 {
        let target = TARGETS[random.random_range(0..2) + 4 * (round % 2)];
        fleet.process_mut(target).kill().unwrap();
        fleet.restart_target(target).await.unwrap();
        assert!(send_round(&fleet, round, &mut random).await > 0);
    }
}
