use {
    base::{CustomerId, RequestPriority},
    std::time::{Duration, Instant},
};

/// A call to be queued.
#[derive(Debug, Clone)]
pub struct WaitingCall<T> {
    /// Customer that the call belongs to.
    pub customer: CustomerId,
    /// Weight of the customer relative to the others.
    pub weight: u32,
    /// Urgency of the call.
    pub priority: RequestPriority,
    /// Time by which the call must be answered.
    pub deadline: Instant,
    /// Expected cost in target-seconds, which are seconds of one target slot. This is also the
    /// shortest time in which the call can be answered.
    pub cost: f64,
    /// Payload, which the queue returns unchanged.
    pub item: T,
}

/// Result of queueing a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall<T> {
    /// Sequence number of the call, which [`FairQueue::cancel`](crate::FairQueue::cancel) takes.
    pub sequence: u64,
    /// Items of the calls that were evicted for this call; none of them was run.
    pub evicted: Vec<T>,
}

/// A call that was removed from the queue to be run.
#[derive(Debug, Clone)]
pub struct PoppedCall<T> {
    /// The call.
    pub call: WaitingCall<T>,
    /// Time that the call waited in the queue.
    pub waited: Duration,
}
