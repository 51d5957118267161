//! Scheduling of pipeline stages that run before a request: which pieces a request needs, and how
//! the pieces of many requests are batched into calls to targets.

mod batch_action;
mod batch_outcome;
mod batch_queue;
mod batch_scheduler;
mod batch_target;
mod batch_targets;
mod customer_shares;
mod job_order;
mod job_rank;
mod machine_pace;
mod pending_job;
mod pool_shards;
mod recent_arrivals;
mod stage_graph;
mod stage_job;

pub use {
    batch_action::{BatchAction, CallId},
    batch_scheduler::BatchScheduler,
    customer_shares::CustomerShares,
    job_rank::JobRank,
    machine_pace::MachinePace,
    pool_shards::{PoolShard, PoolShards},
    recent_arrivals::RecentArrivals,
    stage_graph::{StageGraph, StageState},
    stage_job::{JobId, PieceInput, PieceOutcome, PieceWork, StageJob, StageResult},
};
