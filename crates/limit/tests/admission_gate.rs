//! Tests that the admission gate admits requests that can finish by their deadline and refuses the
//! others, and that a refused request is admitted after its retry delay.

use {
    base::FailureReason,
    limit::{Admission, AdmissionGate, AdmissionQuery},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::Duration,
};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_that_can_finish_are_admitted_and_others_are_refused(
        stages in prop::collection::vec(0_u64..2_000, 0..6),
        wait in 0_u64..4_000,
        remaining in 0_u64..6_000,
    ) {
        let stages: Vec<Duration> = stages.into_iter().map(Duration::from_millis).collect();
        let service: Duration = stages.iter().sum();
        let query = AdmissionQuery {
            stages: &stages,
            queue_wait: Duration::from_millis(wait),
            remaining: Duration::from_millis(remaining),
        };
        let gate = AdmissionGate::default();
        let idle = AdmissionQuery { queue_wait: Duration::ZERO, ..query };
        prop_assert_eq!(gate.admit(idle) == Admission::Admit, service <= query.remaining);
        match gate.admit(query) {
            Admission::Admit => prop_assert!(query.queue_wait + service <= query.remaining),
            Admission::Refuse { reason: FailureReason::DeadlineTooShort, .. } => {
                prop_assert!(service > query.remaining);
            }
            Admission::Refuse { reason, retry_after } => {
                prop_assert_eq!(reason, FailureReason::Overloaded);
                let later = AdmissionQuery {
                    queue_wait: query.queue_wait.saturating_sub(retry_after),
                    ..query
                };
                prop_assert_eq!(gate.admit(later), Admission::Admit);
            }
        }
    }
}
