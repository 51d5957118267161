use {
    base::{CentreId, CustomerId, PipelineId, PoolId, RequestPriority, TargetId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// One part of the sheet as operators write it; each table may stand in any part.
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
    /// Kind of call that is made, for instance `encode` or `post`.
    pub call: String,
    /// Model that an engine should answer with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Time that the call takes on an ordinary target before anything was measured.
    #[serde(with = "humantime_serde")]
    pub expected: Duration,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRow {
    /// Name of the customer.
    pub name: CustomerId,
    /// Share under load, relative to the other customers.
    pub weight: u32,
    /// Most urgent priority that its requests may have.
    #[serde(default)]
    pub priority: RequestPriority,
    /// Digest of its credential, hexadecimal (BLAKE3).
    pub credential: String,
    /// Number of entries it is told to use; absent means the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<u32>,
}

/// What the targets of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines: they stream tokens and can resume.
    Engine,
    /// Plain services: one whole answer for each call.
    Plain,
}

/// A pool of interchangeable targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Name of the pool.
    pub name: PoolId,
    /// What its targets are.
    pub kind: PoolKind,
    /// Kinds of call that may not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetRow {
    /// Name of the target.
    pub name: TargetId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Data centre that it stands in.
    pub data_centre: CentreId,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Calls that it can run at once.
    pub capacity: u32,
    /// True if the target is to receive no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Models that it should have loaded, as `name` or `name@version`.
    #[serde(default)]
    pub models: Vec<String>,
    /// True if the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_orders: bool,
}
