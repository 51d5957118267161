//! A requester with one kept connection, which sends one request after the other.

use {
    crate::{
        http_text::{HttpMessage, read_message},
        run_record::RunRecord,
    },
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Number of the next request of the whole run.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Number of the next requester.
static NEXT_REQUESTER: AtomicU32 = AtomicU32::new(0);

/// Time between the starts of two requesters, so that they do not send all at once.
const START_INTERVAL: Duration = Duration::from_millis(37);

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub id: String,
    pub sent_at: Duration,
    /// Status of the answer; `None` if the connection ended without one.
    pub status: Option<u16>,
}

/// What a requester sends.
#[derive(Debug, Clone)]
pub struct RequestKind {
    pub method: &'static str,
    pub path: &'static str,
    /// Key of the one piece of the request; `None` if its route has no stages.
    pub piece_key: Option<&'static str>,
    pub deadline_ms: u64,
    /// Pause between an answer and the next request.
    pub pause: Duration,
}

/// Sends requests of a kind to an entry until told to stop; returns them all.
pub fn send_until(
    entry: SocketAddr,
    kind: RequestKind,
    stop: &Arc<AtomicBool>,
    record: &Arc<RunRecord>,
) -> JoinHandle<Vec<SentRequest>> {
    let (stop, record) = (Arc::clone(stop), Arc::clone(record));
    thread::spawn(move || {
        let mut sent = Vec::new();
        let mut connection = None;
        thread::sleep(START_INTERVAL * (NEXT_REQUESTER.fetch_add(1, Ordering::SeqCst) % 32));
        while !stop.load(Ordering::SeqCst) {
            let number = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
            let id = format!("{number:016x}");
            let sent_at = record.note(&format!("requester: sends {id} to {entry}"));
            let answer = exchange(&mut connection, entry, &kind, &id);
            let status = answer.ok().map(|answer| answer.status());
            record.note(&format!("requester: {id} is answered {status:?}"));
            sent.push(SentRequest {
                id,
                sent_at,
                status,
            });
            thread::sleep(kind.pause);
        }
        sent
    })
}

fn exchange(
    connection: &mut Option<(TcpStream, BufReader<TcpStream>)>,
    entry: SocketAddr,
    kind: &RequestKind,
    id: &str,
) -> io::Result<HttpMessage> {
    let (mut writer, mut reader) = match connection.take() {
        Some(open) => open,
        None => {
            let stream = TcpStream::connect(entry)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_millis(kind.deadline_ms + 1_000)))?;
            (stream.try_clone()?, BufReader::new(stream))
        }
    };
    let RequestKind {
        method,
        path,
        deadline_ms,
        ..
    } = kind;
    let body = match *method {
        "GET" => String::new(),
        _ => format!("{{\"posting\":\"{id}\"}}"),
    };
    let pieces = kind.piece_key.map_or(String::new(), |key| {
        format!("X-Pieces: 1\r\nX-Piece-Key: {key}\r\n")
    });
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: key-a\r\n{pieces}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    writer.write_all(text.as_bytes())?;
    let answer = read_message(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if !answer.is_last() {
        *connection = Some((writer, reader));
    }
    Ok(answer)
}
