mod batch_calls;
mod batch_service;
mod frame_io;
mod job_frame;
mod job_server;
mod owner_link;
mod pool_wait;
mod shard_owner;
mod shard_state;
mod stage_run;

pub use {
    batch_service::BatchService,
    job_frame::JobFrame,
    job_server::serve_jobs,
    pool_wait::{PoolWait, pool_wait, shard_wait},
    stage_run::StageRun,
};
