mod change_log;
mod feed_frame;
mod feed_lag;
mod feed_server;
mod held_targets;
mod passed_targets;
mod peer_feed;
mod read_phase;
mod state_view;
mod store_contents;
mod store_faults;
mod store_peers;
mod store_reader;
mod store_replica;
mod store_request;

pub use {
    change_log::ChangeLog,
    feed_frame::FeedFrame,
    feed_lag::{FeedLag, LagAdvice},
    feed_server::serve_feed,
    passed_targets::PassedTargets,
    state_view::StateView,
    store_peers::PeerPosition,
    store_reader::{check_store, read_store},
    store_replica::StoreReplica,
    store_request::{AnswerOrigin, StoreRequest},
};
