mod answer_marks;
mod call_message;
mod call_reply;
mod connection_check;
mod connection_pool;
mod event_splitter;
mod hop_headers;
mod pooled_connection;
mod socket_setup;
mod target_stream;
mod whole_reply;

pub use {
    call_reply::{CallFault, CallReply},
    connection_check::CheckOutcome,
    connection_pool::ConnectionPool,
    event_splitter::{EventSplitter, first_event_id},
    hop_headers::{is_hop_header, keep_alive_timeout},
    socket_setup::{PEER_PATIENCE, TARGET_PATIENCE, configure_socket},
    whole_reply::WholeReply,
};
