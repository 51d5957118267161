use {
    awc::{Client, Connector},
    std::time::Duration,
};

/// Connections that may be open to one target; the daemon's own limits come long before.
const CONNECTION_LIMIT: usize = 100_000;
/// Time in which a connection to a target or peer must be made.
const DIAL_TIME: Duration = Duration::from_secs(1);
/// Time for which an idle connection to a target is kept.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// HTTP clients towards targets and peers.
pub struct TargetClient {
    /// Client whose connections are used again.
    pub pooled: Client,
    /// Client for requests that need a connection of their own; each must be sent with
    /// `force_close`, so that no connection of this client is ever used again.
    pub fresh: Client,
    /// Bytes that one answer may have.
    pub answer_bytes: usize,
}

impl TargetClient {
    pub fn new(answer_bytes: usize) -> Self {
        Self {
            pooled: open_client(),
            fresh: open_client(),
            answer_bytes,
        }
    }
}

/// Client without a time limit of its own: every call has a deadline already.
pub fn open_client() -> Client {
    let connector = Connector::new()
        .limit(CONNECTION_LIMIT)
        .timeout(DIAL_TIME)
        .conn_keep_alive(IDLE_TIME);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}
