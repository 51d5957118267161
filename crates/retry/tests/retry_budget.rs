//! Guards against retries and hedges that multiply the load when targets are slow or failing.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    retry::{HedgeCandidate, HedgePolicy, RetryBudget, RetryBudgetSettings},
    std::time::{Duration, Instant},
};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(59),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0_u64..500), 1..500),
    ) {
        let start = Instant::now();
        let settings = RetryBudgetSettings::default();
        let mut budget = RetryBudget::new(settings, start);
        let (mut now, mut successes, mut retries) = (start, 0.0, 0.0);
        for (is_success, millis) in steps {
            now += Duration::from_millis(millis);
            if is_success {
                budget.on_success();
                successes += 1.0;
            } else if budget.take_token(now) {
                retries += 1.0;
            }
            let floor_tokens = settings.floor_per_second * (now - start).as_secs_f64();
            let allowed = settings.saved + settings.share * successes + floor_tokens;
            prop_assert!(retries <= allowed + 1e-6);
        }
    }
}

#[test]
fn low_traffic_can_retry() {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new(RetryBudgetSettings::default(), now);
    while budget.take_token(now) {}
    now += Duration::from_secs(10);
    assert!(budget.take_token(now));
}

#[test]
fn about_one_call_in_thirty_is_hedged() {
    let mut policy = HedgePolicy::new();
    let unary_call = HedgeCandidate {
        is_idempotent: true,
        is_streaming: false,
    };
    assert_eq!(policy.hedge_after(unary_call), None);
    let latency = |call: u64| Duration::from_millis(50 + call * 37 % 100);
    (0..1_000).for_each(|call| policy.observe(latency(call)));
    let delay = policy.hedge_after(unary_call).unwrap();
    let hedged = (0..1_000).filter(|call| latency(*call) > delay).count();
    assert!((15..=45).contains(&hedged), "{hedged} of 1000");
    let streamed_call = HedgeCandidate {
        is_streaming: true,
        ..unary_call
    };
    assert_eq!(policy.hedge_after(streamed_call), None);
}
