//! An HTTP server whose connections end without losing requests or replies.

mod arrived_bytes;
mod body_framing;
mod chunk_scanner;
mod client_stream;
mod connection_cost;
mod followed_body;
mod http_server;
mod kernel_buffers;
mod open_connection;
mod open_reply;
mod read_upload;
mod request_body;
mod socket_linger;
mod stream_acceptor;

pub use {
    followed_body::follow_reply,
    http_server::{
        HttpBody, HttpLimits, HttpReply, close_unread, json_reply, read_body, serve_http,
        text_reply,
    },
    open_connection::OpenConnection,
    open_reply::ReplyFollower,
    read_upload::{UploadFault, UploadLimits, WholeUpload, discard_body, read_upload},
    request_body::RequestBody,
};
