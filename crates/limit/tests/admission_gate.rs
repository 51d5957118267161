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
        stage_times_ms in prop::collection::vec(0_u64..2_000, 0..6),
        queue_wait_ms in 0_u64..4_000,
        remaining_ms in 0_u64..6_000,
    ) {
        let stage_times: Vec<Duration> =
            stage_times_ms.into_iter().map(Duration::from_millis).collect();
        let service_time: Duration = stage_times.iter().sum();
        let query = AdmissionQuery {
            stages: &stage_times,
            queue_wait: Duration::from_millis(queue_wait_ms),
            remaining: Duration::from_millis(remaining_ms),
        };
        let gate = AdmissionGate::default();
        let empty_queue_query = AdmissionQuery { queue_wait: Duration::ZERO, ..query };
        prop_assert_eq!(
            gate.admit(empty_queue_query) == Admission::Admit,
            service_time <= query.remaining
        );
        match gate.admit(query) {
            Admission::Admit => prop_assert!(query.queue_wait + service_time <= query.remaining),
            Admission::Refuse { reason: FailureReason::DeadlineTooShort, .. } => {
                prop_assert!(service_time > query.remaining);
            }
            Admission::Refuse { reason, retry_after } => {
                prop_assert_eq!(reason, FailureReason::Overloaded);
                let later_query = AdmissionQuery {
                    queue_wait: query.queue_wait.saturating_sub(retry_after),
                    ..query
                };
                prop_assert_eq!(gate.admit(later_query), Admission::Admit);
            }
        }
    }
}
