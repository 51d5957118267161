use {
    crate::{
        dialect::WireCall,
        target::{ConnectionPool, connection_pool::build_request},
    },
    bytes::Bytes,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::net::TcpStream,
};

/// Longest body of the answer to a check, in bytes.
const MAX_CHECK_BYTES: usize = 64 * 1024;

/// What a check on a new connection has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The other side has answered; holds the body.
    Answered(Bytes),
    /// The connection was refused or has failed.
    Refused,
    /// There was no answer in time.
    Silent,
}

/// Checks whether the other side of a connection answers.
impl ConnectionPool {
    /// Sends a call on a new connection and reads its answer, whatever its status.
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
            let body = reply.read_body(MAX_CHECK_BYTES).await;
            // The connection is not kept: checks are rare.
            reply.close();
            body.ok()
        };
        match actix_rt::time::timeout(time_limit, exchange).await {
            Ok(Some(body)) => CheckOutcome::Answered(body),
            Ok(None) => CheckOutcome::Refused,
            Err(_) => CheckOutcome::Silent,
        }
    }
}
