//! Clients of the HTTP server that stand still.

use {
    actix_http::Request,
    room::ClientRoom,
    setup::{HttpLimits, OpenConnection, ReplyFollower, follow_reply, serve_http, text_reply},
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Length of a reply that does not fit into the buffers of a connection.
const REPLY_BYTES: usize = 64 * 1024 * 1024;
/// Room for the reply and what the library copies of it.
const ROOM_BYTES: usize = 4 * REPLY_BYTES;
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Room that a few requests fill.
const FULL_ROOM_BYTES: usize = 256 * 1024;
/// Connections that find no room.
const WAITING_CONNECTIONS: usize = 100;
/// Time within which all of them are refused; one that waits does so for a second.
const REFUSAL_LIMIT: Duration = Duration::from_secs(10);

#[actix_rt::test]
async fn a_client_that_reads_nothing_is_disconnected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let limits = HttpLimits {
        write_timeout: WRITE_TIMEOUT,
        ..HttpLimits::default()
    };
    let (_closing, inbox) = watch::channel(false);
    let room = ClientRoom::new(ROOM_BYTES);
    let handler = async |_| text_reply(actix_http::StatusCode::OK, "r".repeat(REPLY_BYTES));
    actix_rt::spawn(serve_http(listener, limits, room, inbox, handler));
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

/// Tells when it is dropped.
struct DropFlag(Rc<Cell<bool>>);

impl ReplyFollower for DropFlag {
    fn on_written(&mut self) {}
}

impl Drop for DropFlag {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

/// Guards against replies that are counted as open for ever after their client has left.
#[actix_rt::test]
async fn a_reply_that_its_client_does_not_take_is_over_once_the_client_has_left() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let (_closing, inbox) = watch::channel(false);
    let is_over = Rc::new(Cell::new(false));
    let handler = {
        let is_over = Rc::clone(&is_over);
        move |request: Request| {
            let connection = OpenConnection::of(&request).expect("a connection");
            let reply = text_reply(actix_http::StatusCode::OK, "r".repeat(REPLY_BYTES));
            let reply = follow_reply(reply, &connection, DropFlag(Rc::clone(&is_over)));
            async move { reply }
        }
    };
    actix_rt::spawn(serve_http(
        listener,
        HttpLimits::default(),
        ClientRoom::new(ROOM_BYTES),
        inbox,
        handler,
    ));
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(head).await.expect("writes");
    actix_rt::time::sleep(WRITE_TIMEOUT).await;
    assert!(!is_over.get(), "the reply has not been taken");
    drop(stream);
    let deadline = Instant::now() + Duration::from_secs(5);
    while !is_over.get() && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(is_over.get(), "the reply is still open");
}

/// Guards against connections that wait for room one after the other, so that the last waits for all.
#[actix_rt::test]
async fn connections_without_room_do_not_wait_for_each_other() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let (_closing, inbox) = watch::channel(false);
    let room = ClientRoom::new(FULL_ROOM_BYTES);
    let handler = async |_| std::future::pending().await;
    let limits = HttpLimits::default();
    actix_rt::spawn(serve_http(
        listener,
        limits,
        Rc::clone(&room),
        inbox,
        handler,
    ));
    let mut served = Vec::new();
    while room.has_space(1) {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        let head = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        stream.write_all(head).await.expect("writes");
        served.push(stream);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let mut waiting = Vec::new();
    for _ in 0..WAITING_CONNECTIONS {
        waiting.push(TcpStream::connect(address).await.expect("connects"));
    }
    let closing = async {
        for stream in &mut waiting {
            let mut bytes = Vec::new();
            // The connection may end by a reset.
            let _ = stream.read_to_end(&mut bytes).await;
            assert!(bytes.is_empty(), "no request was sent");
        }
    };
    let closed = actix_rt::time::timeout(REFUSAL_LIMIT, closing).await;
    assert!(closed.is_ok(), "refused: {}", room.counts().refused());
}
