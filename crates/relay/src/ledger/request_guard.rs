use {
    crate::{
        ledger::{OpenRequest, RequestEnd, RequestPlace},
        shared::RelayCore,
    },
    setup::ReplyFollower,
    slog::{error, info},
    std::{rc::Rc, time::Instant},
};

/// Keeps a request open until its answer was written, or until it is dropped, and then records its end.
pub struct RequestGuard {
    core: Rc<RelayCore>,
    request: Rc<OpenRequest>,
    /// True once the body was read whole.
    is_read: bool,
    /// True once the last byte of the answer was passed to the socket.
    is_written: bool,
}

impl RequestGuard {
    /// Opens a request whose head has arrived.
    pub fn open(core: &Rc<RelayCore>, arrived: Instant) -> Self {
        Self {
            core: Rc::clone(core),
            request: core.ledger.open(arrived),
            is_read: false,
            is_written: false,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &Rc<OpenRequest> {
        &self.request
    }

    /// Records that the request was read whole.
    pub fn record_read(&mut self) {
        self.is_read = true;
        self.core.ledger.read.inc();
        self.request.set_place(RequestPlace::Admission);
    }

    /// Returns how the request has ended, now that nothing more can be written.
    fn end(&self) -> RequestEnd {
        match self.request.end() {
            Some(end) if self.is_written || !end.is_whole() => end,
            _ if std::thread::panicking() => RequestEnd::Panicked,
            _ => RequestEnd::CallerLeft,
        }
    }
}

impl ReplyFollower for RequestGuard {
    fn on_written(&mut self) {
        self.is_written = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let end = self.end();
        self.core
            .ledger
            .close(&self.request, self.is_read.then_some(end));
        if !self.is_read || end.is_whole() {
            return;
        }
        let request = &self.request;
        let log = &self.core.log;
        let ms = request.arrived().elapsed().as_millis() as u64;
        let (id, place) = (request.id(), request.place().to_string());
        match end {
            RequestEnd::Panicked => {
                error!(log, "request ended early"; "request" => id, "place" => place,
                    "end" => end.name(), "ms" => ms);
            }
            _ => {
                info!(log, "request ended early"; "request" => id, "place" => place,
                    "end" => end.name(), "ms" => ms);
            }
        }
    }
}
