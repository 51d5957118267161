//! An HTTP server whose connections end without losing requests or replies.

mod client_stream;
mod followed_body;
mod http_server;
mod open_connection;
mod stream_acceptor;

pub use {
    followed_body::follow_reply,
    http_server::{
        HttpBody, HttpLimits, HttpReply, close_unread, json_reply, read_body, serve_http,
        text_reply,
    },
    open_connection::{OpenConnection, ReplyFollower},
};
