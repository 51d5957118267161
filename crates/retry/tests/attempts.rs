//! Guards against requests that run twice although they must not, against the verdict "not run" for
//! a request that may have run, and against retries beyond the fleet's budget.

use {
    base::RunVerdict,
    proptest::{prelude::*, test_runner::RngSeed},
    retry::{AttemptTracker, FleetBudget, FleetBudgetSettings, RetryDecision, SendFault},
    std::time::{Duration, Instant},
};

const FAULTS: [SendFault; 8] = [
    SendFault::NotSent,
    SendFault::Refused,
    SendFault::Misdirected,
    SendFault::InputsGone,
    SendFault::Lost,
    SendFault::Garbled,
    SendFault::Failed,
    SendFault::TimedOut,
];

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn runs_stay_within_the_limit_and_not_run_verdicts_are_true(
        may_repeat in any::<bool>(),
        max_runs in 1_u32..4,
        faults in prop::collection::vec(0_usize..8, 1..20),
    ) {
        let now = Instant::now();
        let deadline = now + Duration::from_secs(5);
        let mut tracker = AttemptTracker::new(may_repeat, max_runs, deadline);
        let mut runs = 0;
        for fault_index in faults {
            let fault = FAULTS[fault_index];
            runs += u32::from(!fault.did_not_run());
            match tracker.on_fault(fault, now, || true) {
                RetryDecision::Retry => {
                    let allowed_runs = if may_repeat { max_runs } else { 1 };
                    prop_assert!(runs < allowed_runs);
                }
                RetryDecision::GiveUp { verdict, .. } => {
                    prop_assert_eq!(verdict == RunVerdict::NotRun, runs == 0);
                    return Ok(());
                }
            }
        }
    }

    /// In any window, all entries together repeat no more than the fleet's budget allows.
    #[test]
    fn entries_together_stay_within_the_fleet_budget(
        entry_count in 1_usize..12,
        steps in prop::collection::vec((0_usize..12, any::<bool>(), 0_u64..80), 1..800),
    ) {
        let window = Duration::from_secs(10);
        let settings = FleetBudgetSettings { repeat_ratio: 0.2, extra_repeats: 54.0, window };
        let start = Instant::now();
        let mut budgets: Vec<_> =
            (0..entry_count).map(|_| FleetBudget::new(settings, start)).collect();
        let mut now = start;
        // Time of each request and repeat; true for a request.
        let mut sends: Vec<(Instant, bool)> = Vec::new();
        for (entry, is_request, elapsed_ms) in steps {
            now += Duration::from_millis(elapsed_ms);
            let budget = &mut budgets[entry % entry_count];
            if is_request {
                budget.on_request("s", now);
                sends.push((now, true));
            } else if budget.take_repeat("s", entry_count, now) {
                sends.push((now, false));
            }
            let recent = sends.iter().filter(|(at, _)| now.duration_since(*at) < window);
            let request_count = recent.clone().filter(|(_, is_request)| *is_request).count();
            let repeat_count = recent.count() - request_count;
            prop_assert!(repeat_count as f64 <= 0.2 * request_count as f64 + 54.0);
        }
    }
}

#[test]
fn too_little_time_left_ends_the_attempts() {
    let now = Instant::now();
    let mut tracker = AttemptTracker::new(true, 3, now + Duration::from_millis(10));
    let decision = tracker.on_fault(SendFault::Refused, now, || true);
    assert!(matches!(
        decision,
        RetryDecision::GiveUp {
            verdict: RunVerdict::NotRun,
            ..
        }
    ));
}

#[test]
fn failed_connection_costs_no_budget() {
    let now = Instant::now();
    let mut tracker = AttemptTracker::new(false, 1, now + Duration::from_secs(1));
    assert_eq!(
        tracker.on_fault(SendFault::NotSent, now, || false),
        RetryDecision::Retry
    );
    assert!(matches!(
        tracker.on_fault(SendFault::Refused, now, || false),
        RetryDecision::GiveUp {
            verdict: RunVerdict::NotRun,
            ..
        }
    ));
}
