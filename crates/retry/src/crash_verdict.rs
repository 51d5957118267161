/// Whether a request is known to crash targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request has no open strike.
    Clear,
    /// The request may have crashed a target. It runs on one target at a time, and only where no
    /// other suspect runs.
    Suspect,
    /// The request has crashed too many targets and may not run.
    Refused,
}

/// Whether a call may start on its target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermit {
    /// The call may start and is registered as running.
    Granted,
    /// The call may not start on this target, where another suspect runs; another target may be
    /// free.
    Elsewhere,
    /// The call may not start now, because the request is already running on this entry or a peer,
    /// and the outcome of that run decides whether it may run again. The caller should ask again
    /// shortly.
    Later,
    /// The request may not run on any target.
    Refused,
}

/// How a call that was permitted to start ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrackedCallEnd {
    /// The target gave a complete answer.
    Whole,
    /// The target's process died while it ran the request. The proof is that the target refuses a
    /// new connection. A call whose connection was merely lost ends as `Other`; otherwise a network
    /// fault would count as a crash.
    TargetDied,
    /// Any other end, for instance a cancelled call.
    Other,
}
