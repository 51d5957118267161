//! A caller: sends one request on a new connection and reads its answer.

use {
    crate::http_text::{MessageHead, message, read_body},
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

/// Time that a caller allows for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a caller.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    pub id: String,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

/// What a caller saw of its request.
#[derive(Debug, Clone)]
pub struct CallerOutcome {
    /// Time at which the last byte of the request had been sent; `None` if it could not be sent.
    pub sent_at: Option<Instant>,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
    /// True if the answer was read to its end.
    pub is_complete: bool,
    pub body: String,
    pub ended_at: Instant,
}

impl CallerOutcome {
    fn unanswered(sent_at: Option<Instant>) -> Self {
        Self {
            sent_at,
            status: 0,
            is_complete: false,
            body: String::new(),
            ended_at: Instant::now(),
        }
    }
}

/// Sends a request and reads its answer.
pub fn ask(address: SocketAddr, request: &CallerRequest) -> CallerOutcome {
    let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
        return CallerOutcome::unanswered(None);
    };
    ask_on(stream, request)
}

/// Sends a request on an open connection and reads its answer.
pub fn ask_on(stream: TcpStream, request: &CallerRequest) -> CallerOutcome {
    // A caller waits no longer than its deadline and a little.
    let _ = stream.set_read_timeout(Some(request.deadline + CONNECT_TIMEOUT));
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return CallerOutcome::unanswered(None);
    };
    let deadline = request.deadline.as_millis().to_string();
    let mut headers = vec![
        ("Host", "app.example"),
        ("X-Request-Id", request.id.as_str()),
        ("X-Api-Key", request.key.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    let further = request.headers.iter();
    headers.extend(further.map(|(name, value)| (name.as_str(), value.as_str())));
    let first_line = format!("POST {} HTTP/1.1", request.path);
    if writer
        .write_all(&message(&first_line, &headers, b"question"))
        .is_err()
    {
        return CallerOutcome::unanswered(None);
    }
    let mut outcome = CallerOutcome::unanswered(Some(Instant::now()));
    let mut reader = BufReader::new(stream);
    if let Ok(Some(head)) = MessageHead::read(&mut reader) {
        outcome.status = head.word(1).parse().unwrap_or(0);
        let body = &mut outcome.body;
        let reading = read_body(&head, &mut reader, |part, _| {
            body.push_str(&String::from_utf8_lossy(part));
        });
        outcome.is_complete = reading.is_ok();
    }
    outcome.ended_at = Instant::now();
    outcome
}
