//! Messages between entry daemons and their authenticated encoding: UDP datagrams for membership
//! and TCP frames for sheets.

mod datagram_seal;
mod drop_reason;
mod frame_decoder;
mod frame_seal;
mod message_authenticator;
mod peer_frame;
mod peer_identity;
mod peer_info;
mod peer_message;
mod peer_rumour;
mod schema_number;
mod wire_error;

pub use {
    datagram_seal::{DatagramSeal, MAX_DATAGRAM_BYTES},
    drop_reason::DropReason,
    frame_decoder::FrameDecoder,
    frame_seal::{FrameSeal, MAX_FRAME_BYTES},
    peer_frame::PeerFrame,
    peer_identity::PeerIdentity,
    peer_info::{PeerInfo, short_digest},
    peer_message::PeerMessage,
    peer_rumour::{MarkSource, PeerRumour, StrikeVictim},
    schema_number::{NEWEST_SCHEMA, OLDEST_SCHEMA, SchemaNumber},
    wire_error::WireError,
};
