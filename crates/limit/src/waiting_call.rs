use {
    base::{CustomerId, RequestPriority},
    std::time::{Duration, Instant},
};

/// A call that asks for a place in the queue.
#[derive(Debug, Clone)]
pub struct WaitingCall<T> {
    /// Customer that the call belongs to.
    pub customer: CustomerId,
    /// Share of the customer, relative to the others.
    pub weight: u32,
    /// How urgent the call is.
    pub priority: RequestPriority,
    /// When the call must have been answered.
    pub deadline: Instant,
    /// Expected target-seconds, which is also the least time that the call still needs.
    pub cost: f64,
    /// What is queued.
    pub item: T,
}

/// Place that a call got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued<T> {
    /// Number of the place, for `cancel`.
    pub place: u64,
    /// Items that lost their place to this call; none of them was run.
    pub evicted: Vec<T>,
}

/// A call whose turn it is.
#[derive(Debug, Clone)]
pub struct Popped<T> {
    /// The call.
    pub call: WaitingCall<T>,
    /// Time for which it waited.
    pub waited: Duration,
}
