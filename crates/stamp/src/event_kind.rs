use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A process started.
    ProcessStarted,
    /// A request came in.
    RequestReceived,
    /// A request joined the queue.
    RequestQueued,
    /// A request joined a run under the same ticket, or got its recorded answer.
    RequestJoined,
    /// A request was sent on to the entry that minted its ticket.
    RequestForwarded,
    /// A request was refused before anything of it ran.
    RequestRefused,
    /// A request ended, whole or failed.
    RequestEnded,
    /// The caller of a request went away.
    CallerLeft,
    /// A call left for a target.
    CallSent,
    /// A target answered a call.
    CallAnswered,
    /// A call failed.
    CallFailed,
    /// A reply did not match the call that it came for.
    ReplyMismatched,
    /// A stream went on at another target.
    StreamResumed,
    /// A second call was sent beside a slow one.
    CallHedged,
    /// A member was heard of for the first time, or again.
    MemberLive,
    /// A member answered neither direct nor indirect probes.
    MemberSuspect,
    /// A member was forgotten.
    MemberGone,
    /// A member is leaving.
    MemberLeaving,
    /// This process doubts its own view, since most members seem dead.
    ViewDoubted,
    /// A target is leaving.
    TargetLeaving,
    /// A target may be used again.
    TargetCleared,
    /// A target was ejected as too slow or failing.
    TargetEjected,
    /// An ejected target was taken back.
    TargetReadmitted,
    /// A sheet was put in force.
    SheetInForce,
    /// A sheet was refused.
    SheetRefused,
    /// A ticket was minted.
    TicketMinted,
    /// A ticket was spent.
    TicketSpent,
    /// A request was running at a target that died.
    Strike,
    /// An order left for an engine.
    OrderSent,
    /// An engine refused an order.
    OrderRefused,
    /// An engine is in the wanted state.
    OrderSettled,
    /// The process began to drain.
    Drain,
    /// The process ended.
    ProcessEnded,
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
