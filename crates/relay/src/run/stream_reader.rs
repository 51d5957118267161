use {
    crate::{
        dialect::header_value,
        target::{CallReply, EventSplitter, first_event_id},
    },
    bytes::Bytes,
    slog::{Logger, debug, info},
};

/// Outcome of a read from a stream.
pub enum StreamRead {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The connection failed, or the stream ended within an event.
    Broken,
}

/// Media type that the answers have which bring the events of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamType {
    /// No event was read yet.
    Any,
    /// The type that the answer with the first event states, if it states one.
    Of(Option<String>),
}

impl StreamType {
    /// Returns true if an answer can bring further events.
    pub fn accepts(&self, reply: &CallReply) -> bool {
        match self {
            Self::Any => true,
            Self::Of(media_type) => *media_type == stated_type(reply),
        }
    }
}

/// Reads a stream in complete events, from one source after the other.
pub struct StreamReader {
    log: Logger,
    /// Target or other entry that the stream comes from.
    source: String,
    reply: CallReply,
    /// True once an event was read from the source.
    has_events: bool,
    splitter: EventSplitter,
    /// Id of the last event that the caller has; `None` if it has none, or none with an id.
    last_id: Option<String>,
    stream_type: StreamType,
    /// True once events were read of which the last one that the caller has is not known by an id.
    is_unmarked: bool,
}

impl StreamReader {
    /// Creates the reader of a stream that goes on after the event with the id `last_id`.
    pub fn new(log: &Logger, source: &str, reply: CallReply, last_id: Option<&str>) -> Self {
        Self {
            log: log.clone(),
            source: source.to_string(),
            reply,
            has_events: false,
            splitter: EventSplitter::default(),
            last_id: last_id.map(String::from),
            stream_type: StreamType::Any,
            is_unmarked: false,
        }
    }

    /// Reads the next complete events from the current source. Nothing is lost if it is given up before it
    /// returns.
    pub async fn read(&mut self) -> StreamRead {
        loop {
            match self.reply.next_chunk().await {
                Ok(Some(chunk)) => {
                    self.splitter.push(&chunk);
                    let events = self.splitter.take_events();
                    if !events.is_empty() {
                        return self.accept(events);
                    }
                    if self.splitter.has_oversized_event() {
                        info!(self.log, "stream read failed"; "reason" => "endless event",
                            "target" => &self.source);
                        return StreamRead::Broken;
                    }
                }
                Ok(None) if self.is_cut_short() => return StreamRead::Broken,
                Ok(None) => return StreamRead::End,
                Err(fault) => {
                    debug!(self.log, "stream read failed"; "reason" => ?fault);
                    return StreamRead::Broken;
                }
            }
        }
    }

    /// Returns events of the current source, unless its first one does not go on with the stream: then what it
    /// sends is another stream, or none at all.
    fn accept(&mut self, events: Bytes) -> StreamRead {
        let last_id = self.last_id.as_deref().filter(|_| !self.has_events);
        let goes_on = last_id.is_none_or(|last| {
            let first = first_event_id(&events);
            first.is_some_and(|first| is_later(first, last))
        });
        if !goes_on {
            info!(self.log, "stream read failed"; "reason" => "the stream does not go on",
                "target" => &self.source, "after" => last_id);
            return StreamRead::Broken;
        }
        self.has_events = true;
        if let Some(id) = self.splitter.last_id() {
            self.last_id = Some(id.to_string());
        }
        self.is_unmarked = self.last_id.is_none();
        if self.stream_type == StreamType::Any {
            self.stream_type = StreamType::Of(stated_type(&self.reply));
        }
        StreamRead::Events(events)
    }

    /// Closes the connection to the current source and drops what it sent of its next event.
    pub fn close(&mut self) {
        self.reply.close();
        self.splitter = EventSplitter::default();
    }

    /// Goes on with the answer of another source; the connection to the one before is closed.
    pub fn replace(&mut self, source: &str, reply: CallReply) {
        self.close();
        self.source = source.to_string();
        self.reply = reply;
        self.has_events = false;
    }

    /// Returns the id of the last event that the caller has; `None` if it has none, or none with an id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns true if it can be said where another source should go on.
    pub fn has_position(&self) -> bool {
        !self.is_unmarked
    }

    /// Returns the media type of the stream.
    pub fn stream_type(&self) -> &StreamType {
        &self.stream_type
    }

    /// Returns true if nothing but the end of the connection marks that of the stream.
    pub fn ends_with_connection(&self) -> bool {
        self.reply.ends_with_connection
    }

    /// Returns true if a stream whose connection has ended normally was cut all the same: it ended
    /// within an event, or before the first one with nothing but the connection to mark the end.
    fn is_cut_short(&self) -> bool {
        let is_empty = !self.has_events;
        self.splitter.has_partial_event() || (is_empty && self.reply.ends_with_connection)
    }
}

/// Returns the media type of an answer, without its parameters; `None` if it states none.
fn stated_type(reply: &CallReply) -> Option<String> {
    let value = header_value(&reply.headers, "content-type")?;
    let media_type = value.split(';').next()?;
    Some(media_type.trim().to_ascii_lowercase())
}

/// Returns true if an event with the id `id` comes after one with the other id. Ids increase where they are
/// numbers.
fn is_later(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
