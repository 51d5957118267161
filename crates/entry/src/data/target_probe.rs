use {
    std::{io::ErrorKind, time::Duration},
    tokio::net::TcpStream,
};

/// Time in which a dial shows whether anything listens.
const DIAL_TIME: Duration = Duration::from_millis(200);
/// Time that a dying process may take to close its listener after its connections.
const CLOSE_TIME: Duration = Duration::from_millis(20);
/// Dials before a target counts as alive.
const DIALS: usize = 2;

/// True if the target's process is gone: its address refuses connections. A cut of the network
/// leaves no such trace.
pub async fn is_dead(address: &str) -> bool {
    for dial in 0..DIALS {
        if dial > 0 {
            actix_rt::time::sleep(CLOSE_TIME).await;
        }
        match actix_rt::time::timeout(DIAL_TIME, TcpStream::connect(address)).await {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return true,
            Ok(Ok(_)) => {}
            _ => return false,
        }
    }
    false
}
