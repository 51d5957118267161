//! Clients of the HTTP server that stand still.

use {
    setup::{HttpLimits, serve_http, text_reply},
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Length of a reply that does not fit into the buffers of a connection.
const REPLY_BYTES: usize = 64 * 1024 * 1024;
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);

#[actix_rt::test]
async fn a_client_that_reads_nothing_is_disconnected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let limits = HttpLimits {
        write_timeout: WRITE_TIMEOUT,
        ..HttpLimits::default()
    };
    let (_closing, inbox) = watch::channel(false);
    let handler = async |_| text_reply(actix_http::StatusCode::OK, "r".repeat(REPLY_BYTES));
    actix_rt::spawn(serve_http(listener, limits, inbox, handler));
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(head).await.expect("writes");
    actix_rt::time::sleep(WRITE_TIMEOUT * 10).await;
    let (started, mut bytes) = (Instant::now(), Vec::new());
    // The connection may end by a reset.
    let _ = stream.read_to_end(&mut bytes).await;
    assert!(
        bytes.len() < REPLY_BYTES,
        "the reply was held for the client"
    );
    assert!(started.elapsed() < Duration::from_secs(5));
}
