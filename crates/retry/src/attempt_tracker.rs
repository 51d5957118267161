use {
    base::{FailureReason, RunVerdict},
    std::time::{Duration, Instant},
};

/// Number of times that a request may be sent in addition to its permitted runs, so that it can be
/// retried after targets that did not run it.
const MAX_UNRUN_SENDS: u32 = 2;
/// Minimum time left before the deadline to send the request again.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// How one attempt to send a request to a target and get its answer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// The connection could not be opened, so nothing was sent.
    NotSent,
    /// The target answered that it did not run the request.
    Refused,
    /// Another target answered at the address; it did not run the request.
    Misdirected,
    /// The target did not run the request because stage results that it needs are gone.
    InputsGone,
    /// The connection broke while the call was open; the target may have run the request.
    Lost,
    /// The answer was truncated or belongs to another request; the target may have run this one.
    Garbled,
    /// The target ran the request and answered with a failure.
    Failed,
    /// No answer arrived before the deadline; the target may have run the request.
    TimedOut,
}

impl SendFault {
    /// Returns true if the target certainly did not run the request.
    pub fn did_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Refused | Self::Misdirected | Self::InputsGone
        )
    }

    fn failure_reason(self) -> FailureReason {
        match self {
            Self::NotSent | Self::Misdirected => FailureReason::NoTarget,
            Self::Refused | Self::InputsGone => FailureReason::Overloaded,
            Self::Lost => FailureReason::TargetLost,
            Self::Garbled => FailureReason::AnswerBroken,
            Self::Failed => FailureReason::TargetFailed,
            Self::TimedOut => FailureReason::DeadlinePassed,
        }
    }
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again, to another target.
    Retry,
    /// Report the failure to the caller.
    GiveUp {
        /// Whether any target ran or may have run the request.
        verdict: RunVerdict,
        /// Why the last attempt failed.
        reason: FailureReason,
    },
}

/// Counts how often one request was sent and may have run, and decides whether it may be sent
/// again.
///
/// ```
/// use {
///     base::{FailureReason, RunVerdict},
///     retry::{AttemptTracker, RetryDecision, SendFault},
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let deadline = now + Duration::from_secs(1);
/// let mut tracker = AttemptTracker::new(false, 1, deadline);
/// assert_eq!(tracker.on_fault(SendFault::Refused, now, || true), RetryDecision::Retry);
/// let verdict = RunVerdict::MayHaveRun;
/// let reason = FailureReason::TargetLost;
/// let decision = tracker.on_fault(SendFault::Lost, now, || true);
/// assert_eq!(decision, RetryDecision::GiveUp { verdict, reason });
/// ```
#[derive(Debug, Clone)]
pub struct AttemptTracker {
    /// True if the request may run more than once.
    may_repeat: bool,
    max_runs: u32,
    deadline: Instant,
    /// Number of failed attempts in which a target may have run the request.
    runs: u32,
    /// Number of times that the request left this process.
    sends: u32,
    /// True if a target answered that it ran the request and failed.
    ran_and_failed: bool,
}

impl AttemptTracker {
    /// Starts tracking a request that has not been sent yet. Without `may_repeat` the request is
    /// sent again only while no target can have run it; with `may_repeat` it runs at most
    /// `max_runs` times.
    pub fn new(may_repeat: bool, max_runs: u32, deadline: Instant) -> Self {
        Self {
            may_repeat,
            max_runs: max_runs.max(1),
            deadline,
            runs: 0,
            sends: 0,
            ran_and_failed: false,
        }
    }

    /// Returns the number of failed attempts in which the request left this process.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether a target ran or may have run the request.
    pub fn verdict(&self) -> RunVerdict {
        match (self.runs, self.ran_and_failed) {
            (0, _) => RunVerdict::NotRun,
            (_, true) => RunVerdict::RanAndFailed,
            (_, false) => RunVerdict::MayHaveRun,
        }
    }

    /// Records a failed attempt and decides whether to retry. `take_budget` takes a retry from the
    /// budget and returns false if the budget is exhausted; it is called only if nothing else
    /// forbids a retry.
    pub fn on_fault(
        &mut self,
        fault: SendFault,
        now: Instant,
        take_budget: impl FnOnce() -> bool,
    ) -> RetryDecision {
        self.sends += u32::from(fault != SendFault::NotSent);
        self.runs += u32::from(!fault.did_not_run());
        self.ran_and_failed |= fault == SendFault::Failed;
        let may_run = self.runs == 0 || (self.may_repeat && self.runs < self.max_runs);
        let may_send = self.sends < self.max_runs + MAX_UNRUN_SENDS;
        let has_time = now + MIN_TIME_LEFT < self.deadline;
        // A request that was never sent caused no load on a target, so its retry needs no budget.
        let is_free = fault == SendFault::NotSent;
        if may_run && may_send && has_time && (is_free || take_budget()) {
            return RetryDecision::Retry;
        }
        RetryDecision::GiveUp {
            verdict: self.verdict(),
            reason: fault.failure_reason(),
        }
    }
}
