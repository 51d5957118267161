use {
    crate::target::{CallReply, EventSplitter},
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

/// Reads a stream in complete events, from one source after the other.
pub struct StreamReader {
    log: Logger,
    /// Target or other entry that the stream comes from.
    source: String,
    reply: CallReply,
    /// True once an event was read from the source.
    has_events: bool,
    splitter: EventSplitter,
}

impl StreamReader {
    pub fn new(log: &Logger, source: &str, reply: CallReply) -> Self {
        Self {
            log: log.clone(),
            source: source.to_string(),
            reply,
            has_events: false,
            splitter: EventSplitter::default(),
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
                        self.has_events = true;
                        return StreamRead::Events(events);
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

    /// Closes the connection to the current source and drops what it sent of its next event.
    pub fn close(&mut self) {
        self.reply.close();
        self.splitter.discard_partial_event();
    }

    /// Goes on with the answer of another source; the connection to the one before is closed.
    pub fn replace(&mut self, source: &str, reply: CallReply) {
        self.close();
        self.source = source.to_string();
        self.reply = reply;
        self.has_events = false;
    }

    /// Returns the id of the last event that was read; `None` if none had one.
    pub fn last_id(&self) -> Option<&str> {
        self.splitter.last_id()
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
