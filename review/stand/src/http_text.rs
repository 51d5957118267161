//! HTTP/1.1 as far as the stand-ins speak it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// Reads messages from a connection.
pub type HttpReader = BufReader<TcpStream>;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start_line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the first value of a header, whose name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection has ended before it.
pub fn read_head(reader: &mut HttpReader) -> io::Result<Option<HttpMessage>> {
    let mut message = HttpMessage::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if message.start_line.is_empty() {
            message.start_line = line.to_string();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_string()));
        }
    }
}

/// Reads a whole message; `None` if the connection has ended before it.
pub fn read_message(reader: &mut HttpReader) -> io::Result<Option<HttpMessage>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message.header("content-length");
    let length: Option<usize> = length.and_then(|text| text.parse().ok());
    match (is_chunked, length) {
        (true, _) => {
            while let Some(chunk) = read_chunk(reader)? {
                message.body.extend(chunk);
            }
        }
        (false, Some(length)) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        (false, None) => {}
    }
    Ok(Some(message))
}

/// Reads one chunk of a body; `None` at its regular end.
pub fn read_chunk(reader: &mut HttpReader) -> io::Result<Option<Vec<u8>>> {
    let mut size_line = String::new();
    reader.read_line(&mut size_line)?;
    let size = usize::from_str_radix(size_line.trim_end(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Returns the bytes of an answer with a body of known length.
pub fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// Writes one chunk of a chunked body; an empty one ends the body.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
    stream.write_all(&chunk)
}
