use {
    bytes::Bytes,
    stand::{DirectionFault, ProxyDestination, ProxyFault},
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::{mpsc, watch},
        time::Instant,
    },
};

/// Most bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks of one direction that may be under way inside the proxy.
const CHUNK_QUEUE: usize = 256;
/// Parts of a second in which a slowed direction passes a chunk.
const SLOW_STEPS: u64 = 20;
/// Pause after the kernel refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Picks the faults of one direction.
type FlowSide = fn(&ProxyFault) -> &DirectionFault;

/// Carries connections to a server, with faults.
pub async fn serve_tcp(
    listener: TcpListener,
    target: Rc<Cell<ProxyDestination>>,
    faults: watch::Receiver<ProxyFault>,
) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => drop(actix_rt::spawn(carry(
                client,
                target.get().tcp,
                faults.clone(),
            ))),
            Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Carries one connection; unless both directions end well, both sides are reset.
async fn carry(mut client: TcpStream, to: Option<SocketAddr>, faults: watch::Receiver<ProxyFault>) {
    let refused = faults.borrow().cut;
    let dialled = match to {
        Some(to) if !refused => TcpStream::connect(to).await,
        _ => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(mut server) = dialled else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let whole = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let mut cut = faults.clone();
        tokio::select! {
            outcome = async { tokio::try_join!(
                pump(from_client, to_server, faults.clone(), |fault| &fault.to),
                pump(from_server, to_client, faults.clone(), |fault| &fault.from),
            ) } => outcome.is_ok(),
            _ = cut.wait_for(|fault| fault.cut) => false,
        }
    };
    if !whole {
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

/// Carries one direction until its sender has ended it.
async fn pump(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    faults: watch::Receiver<ProxyFault>,
    side: FlowSide,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNK_QUEUE);
    let read = read_chunks(reader, sender, faults.clone(), side);
    let write = write_chunks(writer, receiver, faults, side);
    tokio::try_join!(read, write).map(|_| ())
}

async fn read_chunks(
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<(Instant, Bytes)>,
    mut faults: watch::Receiver<ProxyFault>,
    side: FlowSide,
) -> io::Result<()> {
    loop {
        let flow = wait_passable(&mut faults, side).await;
        if flow.half_close {
            return Ok(());
        }
        let mut chunk = vec![0; chunk_bytes(&flow)];
        let size = tokio::select! {
            size = reader.read(&mut chunk) => size?,
            _ = faults.changed() => continue,
        };
        if size == 0 {
            return Ok(());
        }
        chunk.truncate(size);
        let due = Instant::now() + Duration::from_millis(flow.delay_ms);
        if sender.send((due, Bytes::from(chunk))).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut faults: watch::Receiver<ProxyFault>,
    side: FlowSide,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        let flow = wait_passable(&mut faults, side).await;
        writer.write_all(&chunk).await?;
        if flow.slow_bytes_per_s > 0 {
            let seconds = chunk.len() as f64 / flow.slow_bytes_per_s as f64;
            actix_rt::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
    wait_passable(&mut faults, side).await;
    writer.shutdown().await
}

/// Waits until the direction is not held; gives its faults as they are then.
async fn wait_passable(faults: &mut watch::Receiver<ProxyFault>, side: FlowSide) -> DirectionFault {
    match faults.wait_for(|fault| !side(fault).hold).await {
        Ok(fault) => side(&fault).clone(),
        Err(_) => DirectionFault::default(),
    }
}

fn chunk_bytes(flow: &DirectionFault) -> usize {
    if flow.slow_bytes_per_s == 0 {
        return CHUNK_BYTES;
    }
    let bytes = usize::try_from(flow.slow_bytes_per_s / SLOW_STEPS).unwrap_or(CHUNK_BYTES);
    bytes.clamp(1, CHUNK_BYTES)
}
