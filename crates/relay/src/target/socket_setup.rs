use {
    slog::{Logger, warn},
    socket2::{SockRef, TcpKeepalive},
    std::time::Duration,
    tokio::net::TcpStream,
};

/// Time after which bytes that nobody acknowledges end a connection.
const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
/// Idle time after which the other side is asked for a sign of life.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between such questions.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Unanswered questions that end a connection.
const PROBES: u32 = 2;

/// Lets a connection fail soon after its other side falls silent.
pub fn configure_socket(stream: &TcpStream, log: &Logger) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_LIMIT)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = set {
        warn!(log, "socket option not set"; "error" => %error);
    }
}
