//! Reads and writes HTTP/1.1 messages with stated lengths or chunks.

use std::io::{self, BufRead};

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the first value of a header; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(known, _)| known == name)?;
        Some(value)
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }

    /// Returns the status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns true if the connection ends with this message.
    pub fn is_last(&self) -> bool {
        self.header("connection") == Some("close")
    }
}

/// Reads the head of a message; `None` if the connection has ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<HttpMessage>> {
    let mut message = HttpMessage::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_string()));
        }
    }
}

/// Reads a message with its body; `None` if the connection has ended before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<HttpMessage>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding") == Some("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
        return Ok(Some(message));
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads a chunk of a body; `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Returns an answer with a body of stated length.
pub fn answer_text(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text
}
