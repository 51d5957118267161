//! HTTP/1.1 messages as text, for the stand-ins and the callers.

use std::{
    io::{self, BufRead, Read},
    time::Instant,
};

/// Longest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The first line and the headers of a message; header names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct MessageHead {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl MessageHead {
    /// Reads a head; `None` if the connection ends before it begins.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        if reader.read_line(&mut head.first_line)? == 0 {
            return Ok(None);
        }
        head.first_line = head.first_line.trim_end().to_string();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                head.headers.push((name, value.trim().to_string()));
            }
        }
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word at a position of the first line.
    pub fn word(&self, position: usize) -> &str {
        let mut words = self.first_line.split(' ');
        words.nth(position).unwrap_or_default()
    }

    /// Returns the value of a parameter of the request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns true if the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        let encoding = self.header("transfer-encoding").unwrap_or_default();
        encoding.eq_ignore_ascii_case("chunked")
    }

    /// Returns the stated length of the body.
    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a body to its end; fails if it is cut off. `on_part` gets each part as it arrives.
pub fn read_body(
    head: &MessageHead,
    reader: &mut impl BufRead,
    mut on_part: impl FnMut(&[u8], Instant),
) -> io::Result<()> {
    if !head.is_chunked() {
        return read_part(reader, head.length(), &mut on_part);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        read_part(reader, size, &mut on_part)?;
        let mut end = String::new();
        if reader.read_line(&mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

fn read_part(
    reader: &mut impl Read,
    size: usize,
    on_part: &mut impl FnMut(&[u8], Instant),
) -> io::Result<()> {
    if size > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    if size > 0 {
        on_part(&bytes, Instant::now());
    }
    Ok(())
}

/// Returns a whole message with a body of a stated length.
pub fn message(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
