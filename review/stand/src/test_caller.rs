//! Stand-in of a requester.

use {
    crate::{
        http_text::{HttpMessage, read_chunk, read_head, read_message},
        slow_link::connect_slowly,
    },
    std::{
        io::{self, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Time-out of questions whether a process is ready.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a requester.
#[derive(Debug, Clone)]
pub struct TestRequest {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: Option<String>,
    pub deadline: Duration,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl TestRequest {
    /// Creates a request without a body.
    pub fn new(method: &'static str, path: &str, id: &str, deadline: Duration) -> Self {
        Self {
            method,
            path: path.to_string(),
            id: id.to_string(),
            key: None,
            deadline,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Returns the request with an API key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_string());
        self
    }

    /// Returns the request with a further header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Returns the request with a body.
    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis()
        );
        if let Some(key) = &self.key {
            head.push_str(&format!("X-Api-Key: {key}\r\n"));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// Sends a request on a new connection and reads the whole answer, also if it is a stream.
///
/// # Errors
///
/// Fails if the connection ends without a whole answer, or at the deadline.
pub fn call(address: SocketAddr, request: &TestRequest) -> io::Result<HttpMessage> {
    let mut reader = send(address, request)?;
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, request: &TestRequest) -> io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(request.deadline))?;
    stream.write_all(&request.bytes())?;
    Ok(BufReader::new(stream))
}

/// Sends a request on a new connection over a slow link.
pub fn send_slowly(address: SocketAddr, request: &TestRequest) -> io::Result<BufReader<TcpStream>> {
    let mut stream = connect_slowly(address)?;
    stream.set_read_timeout(Some(request.deadline))?;
    stream.write_all(&request.bytes())?;
    Ok(BufReader::new(stream))
}

/// Reads an answer at the pace of a slow link, `bytes_per_second`, and returns its status, its
/// stated length and the number of bytes of its body that came.
pub fn read_slowly(
    reader: &mut BufReader<TcpStream>,
    bytes_per_second: usize,
) -> io::Result<(u16, usize, usize)> {
    /// Number of times a second that the link delivers bytes.
    const STEPS_PER_SECOND: u32 = 50;
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = head.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut buffer = vec![0; bytes_per_second / STEPS_PER_SECOND as usize];
    let mut received = 0;
    while received < length {
        let wanted = buffer.len().min(length - received);
        match reader.read(&mut buffer[..wanted]) {
            Ok(0) | Err(_) => break,
            Ok(count) => received += count,
        }
        std::thread::sleep(Duration::from_secs(1) / STEPS_PER_SECOND);
    }
    Ok((head.status(), length, received))
}

/// Reads the chunks of a stream until its regular end.
pub fn read_stream(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = read_chunk(reader)? {
        body.extend(chunk);
    }
    Ok(body)
}

/// Returns the status of the answer to a GET request; `None` without an answer.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let request = TestRequest::new("GET", path, "probe", PROBE_TIMEOUT);
    call(address, &request).ok().map(|answer| answer.status())
}
