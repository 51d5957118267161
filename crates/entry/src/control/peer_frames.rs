use {
    anyhow::{Context, bail},
    room::{ClientRoom, ClientSeat, SeatState},
    sheet::SheetBundle,
    socket2::SockRef,
    std::{
        future::Future,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    wire::{FrameSeal, MAX_FRAME_BYTES, PeerFrame, PeerRumour},
};

/// Longest time for one request and its reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a peer must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Longest request of a peer, in bytes: it names a version or nothing.
const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// Bytes that the kernel keeps for a connection until they are read.
const RECEIVE_BYTES: usize = 16 * 1024;
/// What the connection of a peer takes: its task, its request and what the kernel keeps.
const REQUEST_COST: usize = 12 * 1024 + 2 * MAX_REQUEST_BYTES + RECEIVE_BYTES;
/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Replies to frames of peers for ever, one frame per connection. `handler` returns the reply to a
/// frame; `seal` encodes, decodes and authenticates the frames with the key that all entries share.
/// Connections take the room; the oldest give way where it is short.
pub async fn serve_frames<Reply: Future<Output = PeerFrame> + 'static>(
    listener: TcpListener,
    room: Rc<ClientRoom>,
    seal: FrameSeal,
    handler: impl Fn(PeerFrame) -> Reply + 'static,
) {
    let handler = Rc::new(handler);
    // Connections take it over; without it the kernel keeps more for each than is counted.
    let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BYTES);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let now = Instant::now();
        if !room.make_room(REQUEST_COST, now) {
            room.count_refused();
            continue;
        }
        let seat = room.take_seat(REQUEST_COST, now);
        let handler = Rc::clone(&handler);
        let seal = seal.clone();
        actix_rt::spawn(async move {
            let serving = serve_frame(stream, &seal, &seat, |frame| handler(frame));
            let _ = actix_rt::time::timeout(EXCHANGE_TIMEOUT, serving).await;
        });
    }
}

/// Sends a frame to a peer and returns its reply.
///
/// # Errors
///
/// Fails if the peer cannot be reached, or if its reply is invalid, incomplete or late.
pub async fn ask_peer(
    address: &str,
    seal: &FrameSeal,
    frame: &PeerFrame,
) -> anyhow::Result<PeerFrame> {
    let exchange = async {
        let mut stream =
            actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.write_all(&seal.encode(frame)?).await?;
        read_frame(&mut stream, seal, MAX_FRAME_BYTES).await
    };
    actix_rt::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .context("peer did not reply in time")?
}

/// Returns the reply to a request for a sheet: a `SheetReply` with the sheet in force and the
/// rumours that mark targets as leaving, or a `SheetAbsent` if no sheet or one older than
/// `min_version` is in force.
pub fn sheet_reply_frame(
    bundle: Option<&SheetBundle>,
    min_version: u64,
    marks: Vec<PeerRumour>,
) -> PeerFrame {
    let version = bundle.map_or(0, |bundle| bundle.index.version);
    match bundle {
        Some(bundle) if version >= min_version => PeerFrame::SheetReply {
            index_text: toml::to_string(&bundle.index).unwrap_or_default(),
            parts: bundle.parts.clone(),
            marks,
        },
        _ => PeerFrame::SheetAbsent { version },
    }
}

async fn serve_frame<Reply: Future<Output = PeerFrame>>(
    mut stream: TcpStream,
    seal: &FrameSeal,
    seat: &ClientSeat,
    handler: impl Fn(PeerFrame) -> Reply,
) -> anyhow::Result<()> {
    let frame = tokio::select! {
        frame = read_frame(&mut stream, seal, MAX_REQUEST_BYTES) => frame?,
        () = seat.until_told_to_end() => bail!("others need the room"),
    };
    // The peer has the key.
    seat.set_state(SeatState::Served, Instant::now());
    let reply = handler(frame).await;
    stream.write_all(&seal.encode(&reply)?).await?;
    stream.shutdown().await?;
    Ok(())
}

async fn read_frame(
    stream: &mut TcpStream,
    seal: &FrameSeal,
    limit: usize,
) -> anyhow::Result<PeerFrame> {
    let mut decoder = seal.decoder();
    decoder.set_limit(limit);
    let mut buffer = vec![0; READ_BUFFER_BYTES.min(limit)];
    loop {
        let next = decoder.next_frame();
        if let Some(frame) =
            next.map_err(|reason| anyhow::anyhow!("frame of the peer dropped: {reason}"))?
        {
            return Ok(frame);
        }
        match stream.read(&mut buffer).await? {
            0 => bail!("the peer closed the connection before its frame was complete"),
            count => decoder.push(&buffer[..count]),
        }
    }
}
