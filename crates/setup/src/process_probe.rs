use {
    std::{io::ErrorKind, time::Duration},
    tokio::net::{TcpStream, ToSocketAddrs},
};

/// Pauses before the connection attempts. A process that ends may accept connections for a few
/// milliseconds after others were lost, and one that restarts soon refuses them only in between.
const DIAL_PAUSES: [Duration; 5] = [
    Duration::from_millis(5),
    Duration::from_millis(10),
    Duration::from_millis(20),
    Duration::from_millis(40),
    Duration::from_millis(80),
];
/// Time-out of one connection attempt.
const DIAL_TIMEOUT: Duration = Duration::from_millis(100);

/// True if the process that listened at the address has ended, so that connections are refused. A
/// network failure causes no refusals.
///
/// ```
/// # actix_rt::System::new().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let address = listener.local_addr().unwrap();
/// assert!(!setup::is_process_gone(address).await);
/// drop(listener);
/// assert!(setup::is_process_gone(address).await);
/// # });
/// ```
pub async fn is_process_gone(address: impl ToSocketAddrs + Clone) -> bool {
    for pause in DIAL_PAUSES {
        actix_rt::time::sleep(pause).await;
        if is_refused(address.clone()).await {
            return true;
        }
    }
    false
}

async fn is_refused(address: impl ToSocketAddrs) -> bool {
    let outcome = actix_rt::time::timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(outcome, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
