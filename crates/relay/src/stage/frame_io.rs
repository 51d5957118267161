use {
    crate::stage::{PeerInbox, PeerMessage},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
        sync::mpsc,
    },
    wire::FrameSeal,
};

/// Size of the buffer that is passed to each read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

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
    mut reader: OwnedReadHalf,
    seal: &FrameSeal,
    mut on_frame: impl FnMut(PeerMessage),
) -> anyhow::Result<()> {
    let mut decoder = seal.decoder::<PeerMessage>();
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = reader.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        decoder.push(&bytes[..count]);
        let decode_error = |reason| anyhow::anyhow!("peer message could not be decoded: {reason}");
        while let Some(frame) = decoder.next_frame().map_err(decode_error)? {
            on_frame(frame);
        }
    }
}
