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

/// Largest number of bytes that are read at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Largest number of chunks of one direction that are queued inside the proxy.
const CHUNK_QUEUE_CAPACITY: usize = 256;
/// Chunks into which a rate-limited direction divides the bytes of one second.
const SLOW_CHUNKS_PER_SECOND: u64 = 20;
/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Selects the faults of one direction.
type FaultSelector = fn(&ProxyFault) -> &DirectionFault;

/// Forwards connections to the destination's server, with faults. Does not return.
pub async fn serve_tcp(
    listener: TcpListener,
    destination: Rc<Cell<ProxyDestination>>,
    faults: watch::Receiver<ProxyFault>,
) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => drop(actix_rt::spawn(forward_connection(
                client,
                destination.get().tcp,
                faults.clone(),
            ))),
            Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Forwards one connection. Both of its sides are reset if it is cut or a direction fails.
async fn forward_connection(
    mut client: TcpStream,
    server_address: Option<SocketAddr>,
    faults: watch::Receiver<ProxyFault>,
) {
    let is_cut = faults.borrow().cut;
    let connected = match server_address {
        Some(address) if !is_cut => TcpStream::connect(address).await,
        _ => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(mut server) = connected else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let ended_cleanly = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let mut cut_watch = faults.clone();
        tokio::select! {
            outcome = async { tokio::try_join!(
                forward_direction(from_client, to_server, faults.clone(), |fault| &fault.to),
                forward_direction(from_server, to_client, faults.clone(), |fault| &fault.from),
            ) } => outcome.is_ok(),
            _ = cut_watch.wait_for(|fault| fault.cut) => false,
        }
    };
    if !ended_cleanly {
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

/// Forwards one direction of a connection until its sender ends it.
async fn forward_direction(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    faults: watch::Receiver<ProxyFault>,
    select_fault: FaultSelector,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
    let read = read_chunks(reader, sender, faults.clone(), select_fault);
    let write = write_chunks(writer, receiver, faults, select_fault);
    tokio::try_join!(read, write).map(|_| ())
}

/// Reads chunks and queues them with the time at which each is due. Ends the direction at the
/// sender's end or a `half_close`.
async fn read_chunks(
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<(Instant, Bytes)>,
    mut faults: watch::Receiver<ProxyFault>,
    select_fault: FaultSelector,
) -> io::Result<()> {
    loop {
        let fault = wait_while_held(&mut faults, select_fault).await;
        if fault.half_close {
            return Ok(());
        }
        let mut chunk = vec![0; chunk_bytes(&fault)];
        let size = tokio::select! {
            size = reader.read(&mut chunk) => size?,
            _ = faults.changed() => continue,
        };
        if size == 0 {
            return Ok(());
        }
        chunk.truncate(size);
        let due = Instant::now() + Duration::from_millis(fault.delay_ms);
        if sender.send((due, Bytes::from(chunk))).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes each queued chunk when it is due, at the limited rate if there is one, and then shuts the
/// receiver's side down.
async fn write_chunks(
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut faults: watch::Receiver<ProxyFault>,
    select_fault: FaultSelector,
) -> io::Result<()> {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        let fault = wait_while_held(&mut faults, select_fault).await;
        writer.write_all(&chunk).await?;
        if fault.slow_bytes_per_s > 0 {
            let seconds = chunk.len() as f64 / fault.slow_bytes_per_s as f64;
            actix_rt::time::sleep(Duration::from_secs_f64(seconds)).await;
        }
    }
    wait_while_held(&mut faults, select_fault).await;
    writer.shutdown().await
}

/// Waits while the direction is held; returns its faults as they are then.
async fn wait_while_held(
    faults: &mut watch::Receiver<ProxyFault>,
    select_fault: FaultSelector,
) -> DirectionFault {
    match faults.wait_for(|fault| !select_fault(fault).hold).await {
        Ok(fault) => select_fault(&fault).clone(),
        Err(_) => DirectionFault::default(),
    }
}

/// Largest number of bytes to read at once under a direction's rate limit.
fn chunk_bytes(fault: &DirectionFault) -> usize {
    if fault.slow_bytes_per_s == 0 {
        return MAX_CHUNK_BYTES;
    }
    let bytes =
        usize::try_from(fault.slow_bytes_per_s / SLOW_CHUNKS_PER_SECOND).unwrap_or(MAX_CHUNK_BYTES);
    bytes.clamp(1, MAX_CHUNK_BYTES)
}
