use {
    crate::wait_room::wait_room,
    base::FailureReason,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Least time after which a refused caller may come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// What is known of a request when it asks to be let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionQuery<'a> {
    /// Expected time of each stage still to come.
    pub stages: &'a [Duration],
    /// Expected wait in the queue.
    pub queue_wait: Duration,
    /// Time that remains until the deadline.
    pub remaining: Duration,
}

/// Whether a request is let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It can finish in time.
    Admit,
    /// It can't finish in time, and nothing of it is run.
    Refuse {
        /// `DeadlineTooShort` or `Overloaded`.
        reason: FailureReason,
        /// When coming back is worth it.
        retry_after: Duration,
    },
}

/// Refuses early what can't finish by its deadline.
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
    /// Times the expected time of its stages that is kept free for a request that must wait.
    pub entry_margin: f64,
    /// Part of the expected time that a request must have left to start a further stage.
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
    /// Decides on a request of which nothing has run yet.
    pub fn admit(&self, query: AdmissionQuery<'_>) -> Admission {
        let service = query.stages.iter().sum();
        let Some(room) = wait_room(query.remaining, service, self.entry_margin) else {
            return Admission::Refuse {
                reason: FailureReason::DeadlineTooShort,
                retry_after: LEAST_RETRY,
            };
        };
        if query.queue_wait <= room {
            return Admission::Admit;
        }
        Admission::Refuse {
            reason: FailureReason::Overloaded,
            retry_after: (query.queue_wait - room).max(LEAST_RETRY),
        }
    }

    /// True if a request whose earlier stages have run can still finish; `rest` is the expected
    /// time of this stage and all that follow.
    ///
    /// Less than the expected time suffices here, because giving up wastes what has run.
    pub fn can_start_stage(&self, remaining: Duration, rest: Duration) -> bool {
        !remaining.is_zero() && rest.mul_f64(self.stage_margin) <= remaining
    }
}
