use {
    crate::{
        dialect::WireCall,
        target::{ConnectionPool, call_message::build_request, hop_headers::keep_alive_timeout},
    },
    bytes::Bytes,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::TcpStream,
};

/// Longest body of the answer to a check, in bytes.
const MAX_CHECK_BYTES: usize = 64 * 1024;

/// An answer to a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckAnswer {
    pub body: Bytes,
    /// Time at which the connection was opened.
    pub opened_at: Instant,
}

/// What a check on a new connection has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The other side has answered.
    Answered(CheckAnswer),
    /// The connection was refused or has failed.
    Refused,
    /// There was no answer in time.
    Silent,
}

/// Checks whether the other side of a connection answers.
impl ConnectionPool {
    /// Sends a call on a new connection and reads its answer, whatever its status. The connection is
    /// kept for later calls.
    pub async fn check(
        self: &Rc<Self>,
        address: SocketAddr,
        call: WireCall,
        time_limit: Duration,
    ) -> CheckOutcome {
        let exchange = async {
            let request = build_request(address, call).ok()?;
            let connection = TcpStream::connect(address).await.ok()?;
            let connection = self.open(connection, address).await.ok()?;
            let mut reply = self.send(connection, request).await.ok()?;
            let opened_at = reply.opened_at()?;
            let idle_timeout = keep_alive_timeout(&reply.headers);
            reply.set_idle_timeout(idle_timeout);
            let body = reply.read_body(MAX_CHECK_BYTES).await.ok()?;
            Some(CheckAnswer { body, opened_at })
        };
        match actix_rt::time::timeout(time_limit, exchange).await {
            Ok(Some(answer)) => CheckOutcome::Answered(answer),
            Ok(None) => CheckOutcome::Refused,
            Err(_) => CheckOutcome::Silent,
        }
    }
}
