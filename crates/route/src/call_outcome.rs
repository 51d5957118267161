/// How a call to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target sent a complete answer.
    Answered,
    /// The target answered with an error.
    Failed,
    /// The target refused the call without running any of it.
    Refused,
    /// The connection was lost during the call or could not be made.
    Lost,
    /// The entry or the caller cancelled the call; the target is not at fault.
    Cancelled,
    /// The target did not answer in time.
    TimedOut,
}
