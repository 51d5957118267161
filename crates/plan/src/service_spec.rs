use {crate::ServiceId, std::time::Duration};

/// A model engine that batches its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Tokens that the memory of one target holds.
    pub cache_tokens: u64,
    /// Time in which one target fetches a token that another keeps; none if it cannot.
    pub fetch_time: Option<Duration>,
}

/// A service that makes pieces of stages in calls of several items.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PieceSpec {
    /// Calls that one target works on at once.
    pub slots: u32,
    /// Items of one call.
    pub batch: usize,
    /// Time of a call without its items.
    pub call_time: Duration,
    /// Time of each item.
    pub item_time: Duration,
    /// Bytes that one target has for results.
    pub result_memory_bytes: u64,
    /// Time for which a result is kept unless it is freed.
    pub keep_time: Duration,
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Set for model engines.
    pub engine: Option<EngineSpec>,
    /// Set for services that make pieces.
    pub pieces: Option<PieceSpec>,
}
