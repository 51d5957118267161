use {
    slog::{Logger, warn},
    socket2::{SockRef, TcpKeepalive},
    std::time::Duration,
    tokio::net::TcpStream,
};

/// Time for which a connection to a target waits for an acknowledgement. Unanswered keepalive probes
/// end the connection after this time too, whatever their number: with probes after 1, 2 and 3 s a
/// sound target may be silent for two seconds.
pub const TARGET_PATIENCE: Duration = Duration::from_millis(3_500);
/// The same for connections between entries, whose work is taken over soon if they are silent.
pub const PEER_PATIENCE: Duration = Duration::from_millis(1_500);
/// Idle time after which the first keepalive probe is sent.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// Sets the options of a socket so that the connection fails soon after the other side stops
/// responding for the time `patience`. Disables Nagle's algorithm too.
pub fn configure_socket(stream: &TcpStream, patience: Duration, log: &Logger) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    let result = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(patience)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = result {
        warn!(log, "socket option not set"; "error" => %error);
    }
}
