use bytes::{Bytes, BytesMut};

/// Takes whole events out of the bytes of an event stream.
///
/// ```
/// let mut splitter = relay::EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(&splitter.take_events()[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some("1"));
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes as they come in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// All events that are whole by now.
    pub fn take_events(&mut self) -> Bytes {
        let Some(end) = whole_end(&self.buffer) else {
            return Bytes::new();
        };
        let whole = self.buffer.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// True if part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets the part of an event that is left.
    pub fn discard_partial_event(&mut self) {
        self.buffer.clear();
    }
}

/// End of the last whole event: an empty line ends an event.
fn whole_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let unix = unix.map(|at| at + 2);
    let dos = dos.map(|at| at + 4);
    unix.max(dos)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_string())
}
