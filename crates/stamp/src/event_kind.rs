use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Kind of a timeline event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A process started.
    ProcessStarted,
    /// A request came in.
    RequestReceived,
    /// A request was added to the queue.
    RequestQueued,
    /// A request attached to a running one with the same ticket, or got its recorded answer.
    RequestJoined,
    /// A request was forwarded to the entry that minted its ticket.
    RequestForwarded,
    /// A request was refused before any part of it ran.
    RequestRefused,
    /// A request ended, successfully or not.
    RequestEnded,
    /// The caller of a request disconnected before the end.
    CallerLeft,
    /// A call was sent to a target.
    CallSent,
    /// A target answered a call.
    CallAnswered,
    /// A call failed.
    CallFailed,
    /// A reply carried the identity of another call.
    ReplyMismatched,
    /// A stream was resumed at another target.
    StreamResumed,
    /// A second call was sent while the first one was slow.
    CallHedged,
    /// A member was discovered, answers again or has another sheet in force, or the process trusts
    /// its suspicions of members again.
    MemberLive,
    /// A member answered neither direct nor indirect probes.
    MemberSuspect,
    /// A member was removed from the member table.
    MemberGone,
    /// A member other than this process announced that it is shutting down, see `Drain`.
    MemberLeaving,
    /// The process does not act on its suspicions of members: more than half of the members are
    /// suspects, or the process itself was paused.
    ViewDoubted,
    /// A target was marked as leaving: it gets no new work.
    TargetLeaving,
    /// The leaving mark of a target was cleared; the target may be used again.
    TargetCleared,
    /// A target was ejected because it was too slow or failed too often.
    TargetEjected,
    /// An ejected target was readmitted.
    TargetReadmitted,
    /// A sheet was put in force.
    SheetInForce,
    /// A sheet was refused.
    SheetRefused,
    /// A ticket was minted.
    TicketMinted,
    /// A ticket was spent: its request was sent for the first time.
    TicketSpent,
    /// A target died while it ran a request.
    Strike,
    /// An order, which is a command to load and unload models, was sent to an engine.
    OrderSent,
    /// An engine refused an order.
    OrderRefused,
    /// An engine reached the state that its orders ask for.
    OrderSettled,
    /// The process began to shut down. It announces that it is leaving, and goes on with its
    /// requests until callers have had time to turn to other entries.
    Drain,
    /// The process ended.
    ProcessEnded,
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
