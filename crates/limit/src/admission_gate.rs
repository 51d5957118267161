use {
    crate::max_wait::max_wait,
    base::FailureReason,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Shortest retry delay that is given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Properties of a request that decide on its admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionQuery<'a> {
    /// Expected time of each remaining stage.
    pub stages: &'a [Duration],
    /// Expected time in the queue.
    pub queue_wait: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
}

/// Decision on the admission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request can finish by its deadline.
    Admit,
    /// The request can't finish by its deadline; none of it is run.
    Refuse {
        /// `DeadlineTooShort` or `Overloaded`.
        reason: FailureReason,
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Refuses requests that can't finish by their deadline before any of their stages runs.
///
/// ```
/// use std::time::Duration;
/// use limit::{Admission, AdmissionGate, AdmissionQuery};
///
/// let gate = AdmissionGate::default();
/// let stages = [Duration::from_millis(200), Duration::from_millis(300)];
/// let query = AdmissionQuery {
///     stages: &stages,
///     queue_wait: Duration::from_millis(100),
///     remaining: Duration::from_secs(1),
/// };
/// assert_eq!(gate.admit(query), Admission::Admit);
/// let late = AdmissionQuery { remaining: Duration::from_millis(400), ..query };
/// assert_ne!(gate.admit(late), Admission::Admit);
/// assert!(!gate.can_start_stage(Duration::from_millis(200), Duration::from_millis(300)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionGate {
    /// Time before the deadline in which a request may no longer wait, as a multiple of the
    /// expected time of its stages. The part beyond that expected time is at most half of the spare
    /// time.
    pub entry_margin: f64,
    /// Time that must be left to start a further stage, as a share of the expected time of all
    /// remaining stages.
    pub stage_margin: f64,
}

impl Default for AdmissionGate {
    fn default() -> Self {
        Self {
            entry_margin: 2.0,
            stage_margin: 0.7,
        }
    }
}

impl AdmissionGate {
    /// Decides on a request of which no stage has run yet.
    pub fn admit(&self, query: AdmissionQuery<'_>) -> Admission {
        let service_time = query.stages.iter().sum();
        let Some(allowed_wait) = max_wait(query.remaining, service_time, self.entry_margin) else {
            return Admission::Refuse {
                reason: FailureReason::DeadlineTooShort,
                retry_after: MIN_RETRY_AFTER,
            };
        };
        if query.queue_wait <= allowed_wait {
            return Admission::Admit;
        }
        Admission::Refuse {
            reason: FailureReason::Overloaded,
            retry_after: (query.queue_wait - allowed_wait).max(MIN_RETRY_AFTER),
        }
    }

    /// True if a request whose earlier stages have run may start its next stage;
    /// `remaining_service_time` is the expected time of this stage and all that follow.
    ///
    /// Less than the expected time is enough here, because giving up would waste the work of the
    /// stages that have run.
    pub fn can_start_stage(&self, remaining: Duration, remaining_service_time: Duration) -> bool {
        !remaining.is_zero() && remaining_service_time.mul_f64(self.stage_margin) <= remaining
    }
}
