mod call_reply;
mod connection_pool;
mod event_splitter;
mod socket_setup;

pub use {
    call_reply::{CallFault, CallReply},
    connection_pool::{ConnectionPool, is_hop_header, keep_alive_timeout},
    event_splitter::EventSplitter,
    socket_setup::configure_socket,
};
