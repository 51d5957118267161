use {
    crate::ServiceId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Parameters of a service whose targets are model engines that batch their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that one target runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into the KV cache of one target.
    pub cache_tokens: u64,
    /// Time to fetch one cached token from another target; `None` if targets cannot fetch.
    pub fetch_time: Option<Duration>,
}

/// Parameters of a service that makes the pieces of stage results, in calls of several items.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PieceSpec {
    /// Number of calls that one target runs concurrently.
    pub slots: u32,
    /// Largest number of items in one call.
    pub batch: usize,
    /// Fixed time of a call, in addition to the time of its items.
    pub call_time: Duration,
    /// Time that each item adds to a call.
    pub item_time: Duration,
    /// Memory of one target for results, in bytes.
    pub result_memory_bytes: u64,
    /// Time for which a target keeps a result unless it is freed earlier.
    pub keep_time: Duration,
}

/// Configuration of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceId,
    /// Engine parameters; `None` unless the targets are model engines.
    pub engine: Option<EngineSpec>,
    /// Piece parameters; `None` unless the service makes pieces.
    pub pieces: Option<PieceSpec>,
}
