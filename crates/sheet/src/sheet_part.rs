use {
    base::{CentreId, CustomerId, PipelineId, PoolId, RequestPriority, TargetId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One part of the sheet as operators write it. Rows of each kind may be in any part.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SheetPart {
    /// Pipelines that callers may run.
    pub pipeline: Vec<PipelineRow>,
    /// Customers that may call.
    pub customer: Vec<CustomerRow>,
    /// Pools that stages name.
    pub pool: Vec<PoolRow>,
    /// Targets that serve the pools.
    pub target: Vec<TargetRow>,
}

/// A pipeline: stages that run one after another under one deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineRow {
    /// Name of the pipeline.
    pub name: PipelineId,
    /// Longest time that a request may take.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Stages in the order in which they run.
    pub stage: Vec<StageRow>,
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageRow {
    /// Pool whose targets run the stage.
    pub pool: PoolId,
    /// Kind of call that the stage makes, for instance `encode` or `post`.
    pub call: String,
    /// Model that the engine is to use; absent if the stage names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Time that the call takes on an ordinary target; used until its latency has been measured.
    #[serde(with = "humantime_serde")]
    pub expected: Duration,
}

/// A customer that may call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRow {
    /// Name of the customer.
    pub name: CustomerId,
    /// Share of the capacity under load, relative to the weights of the other customers.
    pub weight: u32,
    /// Highest priority that its requests may have.
    #[serde(default)]
    pub priority: RequestPriority,
    /// Digest of its credential, hexadecimal (BLAKE3).
    pub credential: String,
    /// Number of entries that the customer is told to use; the default if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<u32>,
}

/// Kind of the targets of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines, which stream tokens and can resume a stream.
    Engine,
    /// Plain services, which give one answer for each call.
    Plain,
}

/// A pool of interchangeable targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Name of the pool.
    pub name: PoolId,
    /// Kind of its targets.
    pub kind: PoolKind,
    /// Kinds of call that may not run more than once.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}

/// A target of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRow {
    /// Name of the target.
    pub name: TargetId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Data centre that the target is in.
    pub data_centre: CentreId,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Number of calls that the target can run at once.
    pub capacity: u32,
    /// True if the target is to get no new calls.
    #[serde(default)]
    pub leaving: bool,
    /// Models that the target is to have loaded, as `name` or `name@version`.
    #[serde(default)]
    pub models: Vec<String>,
    /// True if the target refuses orders that carry an old fencing token.
    #[serde(default)]
    pub checks_orders: bool,
}
