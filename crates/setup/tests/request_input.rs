//! Requests that arrive in any pieces and in any framing, one behind the other.

use {
    actix_http::{Request, StatusCode, body::BoxBody},
    proptest::prelude::*,
    room::ClientRoom,
    setup::{HttpLimits, HttpReply, RequestBody, read_body, serve_http, text_reply},
    std::{future::Future, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Room for the connections of the server.
const ROOM_BYTES: usize = 16_000_000;
const TIMEOUT: Duration = Duration::from_secs(20);

/// How a request frames its body.
#[derive(Debug, Clone)]
enum Framing {
    Sized,
    /// In chunks of this size, with an extension if it says so.
    Chunked(usize, bool),
}

fn request_text(body: &[u8], framing: &Framing) -> Vec<u8> {
    let (chunk_size, has_extras) = match framing {
        Framing::Sized => {
            let head = format!(
                "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            return [head.as_bytes(), body].concat();
        }
        Framing::Chunked(chunk_size, has_extras) => (*chunk_size, *has_extras),
    };
    let mut text = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(chunk_size) {
        let extension = if has_extras { ";a=1" } else { "" };
        text.extend(format!("{:x}{extension}\r\n", chunk.len()).into_bytes());
        text.extend_from_slice(chunk);
        text.extend(b"\r\n");
    }
    text.extend(b"0\r\n\r\n");
    text
}

/// Answers with the length of the body and the sum of its bytes.
async fn answer(mut request: Request) -> HttpReply {
    let mut body = RequestBody::take(&mut request);
    match read_body(&mut body, usize::MAX, TIMEOUT).await {
        Some(body) => text_reply(StatusCode::OK, format!("{};", summary(&body))),
        None => text_reply(StatusCode::BAD_REQUEST, "cut;"),
    }
}

fn summary(body: &[u8]) -> String {
    let sum: u64 = body.iter().map(|byte| u64::from(*byte)).sum();
    format!("{}/{sum}", body.len())
}

/// Sends the requests on one connection, in pieces of these sizes, and returns the bodies of the replies.
async fn send_in_pieces(bytes: Vec<u8>, piece_sizes: Vec<usize>) -> Vec<String> {
    let text = exchange(bytes, piece_sizes, answer).await;
    let bodies = text.split("\r\n\r\n").skip(1);
    bodies
        .filter_map(|rest| Some(rest.split_once(';')?.0.to_string()))
        .collect()
}

/// Sends the requests on one connection, in pieces of these sizes, and returns all that is replied.
async fn exchange<Answer: Future<Output = HttpReply> + 'static>(
    bytes: Vec<u8>,
    piece_sizes: Vec<usize>,
    handler: impl Fn(Request) -> Answer + Clone + 'static,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let (_closing, inbox) = watch::channel(false);
    let room = ClientRoom::new(ROOM_BYTES);
    let server = actix_rt::spawn(serve_http(
        listener,
        HttpLimits::default(),
        room,
        inbox,
        handler,
    ));
    let stream = TcpStream::connect(address).await.expect("connects");
    let (mut reader, mut writer) = stream.into_split();
    let sending = async {
        let mut rest = &bytes[..];
        let mut sizes = piece_sizes.into_iter().cycle();
        while !rest.is_empty() {
            let (piece, next) = rest.split_at(sizes.next().unwrap_or(1).min(rest.len()));
            // The server may have closed the connection.
            if writer.write_all(piece).await.is_err() {
                return;
            }
            actix_rt::time::sleep(Duration::from_micros(100)).await;
            rest = next;
        }
        // The half that is closed ends the connection once all requests were answered.
        let _ = writer.shutdown().await;
    };
    let mut text = Vec::new();
    let reading = reader.read_to_end(&mut text);
    let both = async { tokio::join!(sending, reading).1 };
    // A connection that the server closes with bytes unread may be reset after its replies.
    let _ = actix_rt::time::timeout(TIMEOUT, both)
        .await
        .expect("the connection ends");
    server.abort();
    String::from_utf8(text).expect("text")
}

/// Guards against replies without bodies that hold the next request up.
#[actix_rt::test]
async fn the_next_request_is_read_after_a_reply_without_a_body() {
    let handler = async |_| HttpReply::with_body(StatusCode::NO_CONTENT, BoxBody::new(()));
    let request = request_text(b"", &Framing::Sized);
    let text = exchange(request.repeat(3), vec![1_000], handler).await;
    assert_eq!(text.matches("HTTP/1.1 204").count(), 3, "{text}");
    let handler = async |_| text_reply(StatusCode::OK, "");
    let text = exchange(request.repeat(3), vec![1_000], handler).await;
    assert_eq!(text.matches("HTTP/1.1 200").count(), 3, "{text}");
}

/// A handler that takes nothing of a body must not keep its connection, nor what comes on it.
#[actix_rt::test]
async fn a_body_that_nobody_reads_ends_its_connection() {
    let handler = async |_| text_reply(StatusCode::OK, "done");
    let request = request_text(&[b'u'; 100_000], &Framing::Chunked(1, false));
    let text = exchange(request, vec![100_000], handler).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

fn any_request() -> impl Strategy<Value = (Vec<u8>, Framing)> {
    let framing = prop_oneof![
        Just(Framing::Sized),
        (1..2_000_usize, any::<bool>()).prop_map(|(size, extras)| Framing::Chunked(size, extras)),
        Just(Framing::Chunked(1, false)),
    ];
    (proptest::collection::vec(any::<u8>(), 0..6_000), framing)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn each_request_in_line_gets_the_answer_to_its_own_body(
        requests in proptest::collection::vec(any_request(), 1..5),
        piece_sizes in proptest::collection::vec(1..5_000_usize, 1..4),
    ) {
        let texts = requests.iter().map(|(body, framing)| request_text(body, framing));
        let bytes = texts.collect::<Vec<_>>().concat();
        let piece_sizes = piece_sizes.into_iter().map(|size| size.max(bytes.len() / 400)).collect();
        let expected: Vec<_> = requests.iter().map(|(body, _)| summary(body)).collect();
        let bodies = actix_rt::System::new().block_on(send_in_pieces(bytes, piece_sizes));
        prop_assert_eq!(bodies, expected);
    }
}
