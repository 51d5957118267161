use bytes::{Bytes, BytesMut};

/// Longest event of a stream, in bytes. A target that sends more without an end of the event may
/// never send one.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Cuts the whole events of a server-sent event stream off the partial event that follows them.
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
    /// Number of leading bytes of the buffer that are known to contain no end of an event.
    searched_bytes: usize,
    /// Id of the last event that was returned and had one.
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the bytes of all events that are whole; empty if there are none.
    pub fn take_events(&mut self) -> Bytes {
        let Some(end) = last_event_end(&self.buffer[self.searched_bytes..]) else {
            self.searched_bytes = self.buffer.len().saturating_sub(LONGEST_EVENT_END - 1);
            return Bytes::new();
        };
        let events = self.buffer.split_to(self.searched_bytes + end).freeze();
        self.searched_bytes = 0;
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns the last id among the events that were returned, or `None` if none had an id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns true if the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns true if the part of an event that the buffer holds is longer than any event may be.
    pub fn has_oversized_event(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Discards the part of an event that the buffer holds.
    pub fn discard_partial_event(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }
}

/// Length in bytes of the longest end of an event.
const LONGEST_EVENT_END: usize = 4;

/// Returns the end of the last whole event; an empty line ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).rposition(|window| window == b"\n\n");
    let crlf_end = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    let lf_end = lf_end.map(|start| start + 2);
    let crlf_end = crlf_end.map(|start| start + 4);
    lf_end.max(crlf_end)
}

/// Returns the id of the first of some whole events; `None` if it has none.
pub fn first_event_id(events: &[u8]) -> Option<&str> {
    let lines = events.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut first_lines = lines.take_while(|line| !line.is_empty());
    let id = first_lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_string())
}
