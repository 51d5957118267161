use {
    std::{
        io::{self, ErrorKind},
        time::{Duration, Instant},
    },
    tokio::{io::AsyncReadExt, net::TcpStream},
};

/// Time in which a probe must come to its end.
const PROBE_TIME: Duration = Duration::from_millis(300);
/// Time for which a connection stays open before its target counts as alive.
const OPEN_TIME: Duration = Duration::from_millis(50);
/// Pause between two dials to a process that is closing its sockets.
const DIAL_PAUSE: Duration = Duration::from_millis(5);

/// What one dial shows.
enum DialEnd {
    /// Nothing listens there.
    Refused,
    /// The connection was closed at once, as a process that ends does.
    Closed,
    /// The connection stays open, or the network gives no answer.
    Open,
}

/// True if the target's process is gone: its address refuses connections. A cut of the network
/// leaves no such trace.
///
/// A process that ends closes its connections and its listener one after the other, so a dial
/// in between is accepted and then reset.
pub async fn is_dead(address: &str) -> bool {
    let end = Instant::now() + PROBE_TIME;
    while Instant::now() < end {
        let left = end.saturating_duration_since(Instant::now());
        match actix_rt::time::timeout(left, dial(address)).await {
            Ok(DialEnd::Refused) => return true,
            Ok(DialEnd::Closed) => actix_rt::time::sleep(DIAL_PAUSE).await,
            Ok(DialEnd::Open) | Err(_) => return false,
        }
    }
    false
}

async fn dial(address: &str) -> DialEnd {
    let mut stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => return failed_dial(&error),
    };
    let mut byte = [0];
    match actix_rt::time::timeout(OPEN_TIME, stream.read(&mut byte)).await {
        Ok(Ok(0) | Err(_)) => DialEnd::Closed,
        Ok(Ok(_)) | Err(_) => DialEnd::Open,
    }
}

fn failed_dial(error: &io::Error) -> DialEnd {
    match error.kind() {
        ErrorKind::ConnectionRefused => DialEnd::Refused,
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => DialEnd::Closed,
        _ => DialEnd::Open,
    }
}
