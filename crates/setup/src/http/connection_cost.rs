//! What an open connection of a client costs at the most, in bytes.

use std::ops::RangeInclusive;

/// Bytes that the kernel keeps for a connection until they are read.
pub(super) const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes of replies that the kernel keeps for a connection until they are taken.
pub(super) const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes of replies that the kernel keeps for a connection whose client does not take a long reply at once,
/// so that clients far away need not wait for each few of them to be sent.
pub(super) const WIDE_SEND_BYTES: usize = 256 * 1024;
/// Bytes that the kernel keeps for a connection on which a long body arrives, so that clients far away
/// need not wait for each few of them to be read.
pub(super) const WIDE_BUFFER_BYTES: usize = 256 * 1024;
/// Length from which on a body is long, in bytes.
pub(super) const LONG_BODY_BYTES: usize = 64 * 1024;
/// Length of the unsent part of a reply from which on the reply is long, in bytes. The HTTP library holds up to
/// 32 KiB of a reply that is written in pieces.
pub(super) const LONG_REPLY_BYTES: usize = 16 * 1024;
/// An open connection: its task, the buffers of the HTTP library, and what is read at once of a head.
const TASK_BYTES: usize = 14 * 1024;
/// A request that arrives: its head as parsed, and the future that reads its body.
const REQUEST_BYTES: usize = 12 * 1024;
/// The run of a request.
const RUN_BYTES: usize = 28 * 1024;
/// What waits behind a streamed reply that is left unread: in the process, and in the kernel for the connection that
/// it comes from.
const STREAM_BYTES: usize = 160 * 1024;
/// Length of a head that is part of what an open connection costs, in bytes.
const SHORT_HEAD_BYTES: usize = 8 * 1024;

/// What the kernel keeps for a connection that it has accepted and the process has not, in bytes: a buffer takes half as
/// much again as its size.
const WAITING_BYTES: usize = RECEIVE_BUFFER_BYTES * 3 / 2;
/// Part of an address's room, as a divisor, that such connections may take beside it.
const WAITING_DIVISOR: usize = 4;
/// Least and greatest number of such connections.
const WAITING_COUNTS: RangeInclusive<usize> = 16..=128;

/// An idle connection.
pub(super) const OPEN_BYTES: usize = TASK_BYTES + RECEIVE_BUFFER_BYTES;

/// Returns how many connections to an address with this room may wait to be accepted.
pub(super) fn waiting_count(room_bytes: usize) -> usize {
    let count = room_bytes / WAITING_DIVISOR / WAITING_BYTES;
    count.clamp(*WAITING_COUNTS.start(), *WAITING_COUNTS.end())
}

/// Returns what a connection costs while a request arrives, of whose head this many bytes have come: a
/// buffer has up to twice the size of what it holds.
pub(super) fn arriving_bytes(head_bytes: usize) -> usize {
    OPEN_BYTES + REQUEST_BYTES + 2 * head_bytes.saturating_sub(SHORT_HEAD_BYTES)
}

/// Returns what a connection costs while its request runs.
pub(super) fn running_bytes() -> usize {
    OPEN_BYTES + REQUEST_BYTES + RUN_BYTES
}

/// Returns what a connection costs while its client leaves this many bytes unread that the kernel does not
/// keep.
pub(super) fn unread_bytes(reply_bytes: usize, is_streamed: bool) -> usize {
    let stream_bytes = match is_streamed {
        true => STREAM_BYTES,
        false => 0,
    };
    running_bytes() + SEND_BUFFER_BYTES + 2 * reply_bytes + stream_bytes
}
