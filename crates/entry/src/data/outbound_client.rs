use {
    crate::data::answer_room::AnswerRoom,
    awc::{Client, Connector},
    std::time::Duration,
};

/// Maximum number of connections of one client; high enough that the daemon's own limits apply
/// first.
const MAX_CONNECTIONS: usize = 100_000;
/// Timeout for connecting to a target or peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection to a target or peer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The two HTTP clients for calls to targets and peers.
pub struct OutboundClient {
    /// Client that reuses its connections.
    pub pooled: Client,
    /// Client for requests that need a new connection; each must be sent with `force_close`, so
    /// that no connection of this client is ever reused.
    pub fresh: Client,
    /// Maximum size of one answer in bytes.
    pub max_answer_bytes: usize,
    /// Room for the answers that are being read and passed on.
    pub answer_room: AnswerRoom,
}

impl OutboundClient {
    /// Creates the clients; all answers that are held may use `room_bytes` together.
    pub fn new(max_answer_bytes: usize, room_bytes: usize) -> Self {
        Self {
            answer_room: AnswerRoom::new(room_bytes, max_answer_bytes),
            pooled: build_client(),
            fresh: build_client(),
            max_answer_bytes,
        }
    }
}

/// Builds a client without a request timeout, since every call has a deadline already.
pub fn build_client() -> Client {
    let connector = Connector::new()
        .limit(MAX_CONNECTIONS)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}
