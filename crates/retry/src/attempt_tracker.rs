use {
    base::{FailureReason, RunVerdict},
    std::time::{Duration, Instant},
};

/// Sends beyond those that may run, for targets that said that they ran nothing.
const UNRUN_SENDS: u32 = 2;
/// Least time that must be left for another send.
const LEAST_TIME: Duration = Duration::from_millis(15);

/// How one send of a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// Nothing left this process: the dial failed.
    NotSent,
    /// The target says that it did not run the request.
    Refused,
    /// Another target has the address and did not run the request.
    Misdirected,
    /// The target did not run the request because results of stages are gone.
    InputsGone,
    /// The connection broke; the target may have run the request.
    Lost,
    /// The answer was cut or belongs to another request; the target may have run this one.
    Garbled,
    /// The target ran the request and answered with a failure.
    Failed,
    /// No answer came in time; the target may have run the request.
    TimedOut,
}

impl SendFault {
    /// True if the target proved that it did not run the request.
    pub fn did_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Refused | Self::Misdirected | Self::InputsGone
        )
    }

    fn reason(self) -> FailureReason {
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

/// What follows a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another target.
    Retry,
    /// Tell the caller.
    GiveUp {
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// Why it failed.
        reason: FailureReason,
    },
}

/// Sends of one request so far; decides whether another may follow.
///
/// ```
/// use {
///     base::{FailureReason, RunVerdict},
///     retry::{AttemptTracker, RetryDecision, SendFault},
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let due = now + Duration::from_secs(1);
/// let mut tracker = AttemptTracker::new(false, 1, due);
/// assert_eq!(tracker.on_fault(SendFault::Refused, now, || true), RetryDecision::Retry);
/// let verdict = RunVerdict::MayHaveRun;
/// let reason = FailureReason::TargetLost;
/// let decision = tracker.on_fault(SendFault::Lost, now, || true);
/// assert_eq!(decision, RetryDecision::GiveUp { verdict, reason });
/// ```
#[derive(Debug, Clone)]
pub struct AttemptTracker {
    may_repeat: bool,
    max_runs: u32,
    due: Instant,
    runs: u32,
    sends: u32,
    failed: bool,
}

impl AttemptTracker {
    /// Ledger of a request that no target has seen.
    pub fn new(may_repeat: bool, max_runs: u32, due: Instant) -> Self {
        Self {
            may_repeat,
            max_runs: max_runs.max(1),
            due,
            runs: 0,
            sends: 0,
            failed: false,
        }
    }

    /// Sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether a target may have run the request.
    pub fn verdict(&self) -> RunVerdict {
        match (self.runs, self.failed) {
            (0, _) => RunVerdict::NotRun,
            (_, true) => RunVerdict::RanAndFailed,
            (_, false) => RunVerdict::MayHaveRun,
        }
    }

    /// Records a failed send. `budget` is asked only if nothing else forbids another one.
    pub fn on_fault(
        &mut self,
        fault: SendFault,
        now: Instant,
        budget: impl FnOnce() -> bool,
    ) -> RetryDecision {
        self.sends += u32::from(fault != SendFault::NotSent);
        self.runs += u32::from(!fault.did_not_run());
        self.failed |= fault == SendFault::Failed;
        let may_run = self.runs == 0 || (self.may_repeat && self.runs < self.max_runs);
        let may_send = self.sends < self.max_runs + UNRUN_SENDS;
        let in_time = now + LEAST_TIME < self.due;
        // A send that never left costs no target anything.
        let free = fault == SendFault::NotSent;
        if may_run && may_send && in_time && (free || budget()) {
            return RetryDecision::Retry;
        }
        RetryDecision::GiveUp {
            verdict: self.verdict(),
            reason: fault.reason(),
        }
    }
}
