//! When a request is sent again, and what its caller is told.

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
    fn what_may_run_once_runs_once_and_not_run_is_true(
        may_repeat in any::<bool>(),
        max_runs in 1_u32..4,
        faults in prop::collection::vec(0_usize..8, 1..20),
    ) {
        let now = Instant::now();
        let due = now + Duration::from_secs(5);
        let mut tracker = AttemptTracker::new(may_repeat, max_runs, due);
        let mut runs = 0;
        for fault in faults {
            let fault = FAULTS[fault];
            runs += u32::from(!fault.did_not_run());
            match tracker.on_fault(fault, now, || true) {
                RetryDecision::Retry => {
                    let allowed = if may_repeat { max_runs } else { 1 };
                    prop_assert!(runs < allowed);
                }
                RetryDecision::GiveUp { verdict, .. } => {
                    prop_assert_eq!(verdict == RunVerdict::NotRun, runs == 0);
                    return Ok(());
                }
            }
        }
    }

    /// In any window, all entries together repeat no more than the fleet may.
    #[test]
    fn entries_together_keep_to_the_budget_of_the_fleet(
        entries in 1_usize..12,
        steps in prop::collection::vec((0_usize..12, any::<bool>(), 0_u64..80), 1..800),
    ) {
        let window = Duration::from_secs(10);
        let settings = FleetBudgetSettings { repeat_ratio: 0.2, extra_repeats: 54.0, window };
        let start = Instant::now();
        let mut budgets: Vec<_> = (0..entries).map(|_| FleetBudget::new(settings, start)).collect();
        let mut now = start;
        let mut log: Vec<(Instant, bool)> = Vec::new();
        for (entry, request, millis) in steps {
            now += Duration::from_millis(millis);
            let budget = &mut budgets[entry % entries];
            if request {
                budget.on_request("s", now);
                log.push((now, true));
            } else if budget.take_repeat("s", entries, now) {
                log.push((now, false));
            }
            let recent = log.iter().filter(|(at, _)| now.duration_since(*at) < window);
            let requests = recent.clone().filter(|(_, request)| *request).count();
            let repeats = recent.count() - requests;
            prop_assert!(repeats as f64 <= 0.2 * requests as f64 + 54.0);
        }
    }
}

#[test]
fn too_little_time_ends_it() {
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
fn a_dial_that_failed_costs_no_budget() {
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
