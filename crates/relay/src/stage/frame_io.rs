use {
    crate::stage::{PeerInbox, PeerMessage},
    room::{ClientSeat, SeatState},
    std::{rc::Rc, time::Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
        sync::mpsc,
    },
    wire::{DropReason, FrameDecoder, FrameSeal, MAX_FRAME_BYTES},
};

/// Size of the buffer that is passed to each read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Longest first message of a peer, in bytes.
const MAX_FIRST_FRAME_BYTES: usize = 32 * 1024;
/// Size of the buffer for the first message, in bytes.
const FIRST_BUFFER_BYTES: usize = 2 * 1024;
/// Bytes that the kernel keeps for a connection that a peer has opened until they are read.
pub const PEER_RECEIVE_BYTES: usize = 32 * 1024;
/// What a connection takes until its first message has come: its task, twice the longest such message,
/// and what the kernel keeps.
pub const FIRST_FRAME_COST: usize = 12 * 1024 + 2 * MAX_FIRST_FRAME_BYTES + PEER_RECEIVE_BYTES;

/// Writes the messages from the inbox to a peer until the inbox is closed, or until the peer leaves
/// too many of them unread.
///
/// Messages that are already queued go into the same write.
pub async fn write_frames(
    mut writer: OwnedWriteHalf,
    seal: &FrameSeal,
    inbox: PeerInbox,
) -> anyhow::Result<()> {
    let overrun = PeerInbox::until_overrun(inbox.overrun());
    tokio::select! {
        outcome = write_queued(&mut writer, seal, inbox.receiver) => outcome,
        error = overrun => Err(error),
    }
}

async fn write_queued(
    writer: &mut OwnedWriteHalf,
    seal: &FrameSeal,
    mut inbox: mpsc::Receiver<PeerMessage>,
) -> anyhow::Result<()> {
    while let Some(frame) = inbox.recv().await {
        let mut bytes = seal.encode_as(frame.schema(), &frame)?;
        while let Ok(more) = inbox.try_recv() {
            bytes.extend(seal.encode_as(more.schema(), &more)?);
        }
        writer.write_all(&bytes).await?;
    }
    Ok(())
}

/// Calls `on_frame` with each message of a peer until the peer closes the connection.
pub async fn read_frames(
    reader: OwnedReadHalf,
    seal: &FrameSeal,
    on_frame: impl FnMut(PeerMessage),
) -> anyhow::Result<()> {
    decode_frames(reader, seal.decoder(), on_frame).await
}

/// Like `read_frames`, for a connection that a peer has opened: until its first message shows that it has
/// the key of the entries, it takes a seat in the room, and its message has to be short.
pub async fn read_first_frames(
    mut reader: OwnedReadHalf,
    seal: &FrameSeal,
    seat: Rc<ClientSeat>,
    mut on_frame: impl FnMut(PeerMessage),
) -> anyhow::Result<()> {
    let mut decoder = seal.decoder();
    decoder.set_limit(MAX_FIRST_FRAME_BYTES);
    let mut bytes = [0; FIRST_BUFFER_BYTES];
    let first = loop {
        if let Some(frame) = decoder.next_frame().map_err(decode_error)? {
            break frame;
        }
        let count = tokio::select! {
            count = reader.read(&mut bytes) => count?,
            () = seat.until_told_to_end() => anyhow::bail!("others need the room"),
        };
        if count == 0 {
            return Ok(());
        }
        seat.set_state(SeatState::Arriving, Instant::now());
        seat.record_progress(count, Instant::now());
        decoder.push(&bytes[..count]);
    };
    drop(seat);
    decoder.set_limit(MAX_FRAME_BYTES);
    on_frame(first);
    decode_frames(reader, decoder, on_frame).await
}

fn decode_error(reason: DropReason) -> anyhow::Error {
    anyhow::anyhow!("peer message could not be decoded: {reason}")
}

async fn decode_frames(
    mut reader: OwnedReadHalf,
    mut decoder: FrameDecoder<PeerMessage>,
    mut on_frame: impl FnMut(PeerMessage),
) -> anyhow::Result<()> {
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    loop {
        while let Some(frame) = decoder.next_frame().map_err(decode_error)? {
            on_frame(frame);
        }
        let count = reader.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        decoder.push(&bytes[..count]);
    }
}
