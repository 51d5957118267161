/// How a call to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered whole.
    Answered,
    /// The target answered with an error.
    Failed,
    /// The target refused the call and ran nothing.
    Refused,
    /// The connection was lost or never made.
    Lost,
    /// The entry or the caller gave the call up for a reason of its own.
    Cancelled,
    /// The target did not answer in time.
    TimedOut,
}
