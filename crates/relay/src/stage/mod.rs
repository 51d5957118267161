mod answer_waiters;
mod batch_calls;
mod batch_service;
mod frame_io;
mod job_frame;
mod job_runner;
mod owner_link;
mod peer_message;
mod peer_outbox;
mod peer_server;
mod piece_answer;
mod piece_blame;
mod pool_wait;
mod shard_owner;
mod shard_state;
mod stage_run;

pub use {
    batch_service::BatchService,
    frame_io::{read_frames, write_frames},
    job_frame::JobFrame,
    owner_link::OwnerLink,
    peer_message::PeerMessage,
    peer_outbox::{PeerGone, PeerInbox, PeerOutbox},
    peer_server::serve_peers,
    piece_blame::input_keys,
    pool_wait::{PoolWait, is_urgency_load, pool_wait, shard_wait},
    shard_owner::{JobPlace, takes_jobs},
    stage_run::StageRun,
};
