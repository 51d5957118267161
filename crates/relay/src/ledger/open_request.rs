use {
    crate::ledger::{RequestEnd, RequestPlace},
    base::RunVerdict,
    std::{
        cell::{Cell, RefCell},
        time::{Duration, Instant},
    },
};

/// A request whose answer has not been written whole.
#[derive(Debug)]
pub struct OpenRequest {
    pub(super) number: u64,
    /// Id that the caller has given it; empty until its head was read.
    id: RefCell<String>,
    place: Cell<RequestPlace>,
    /// Whether a target may have run it, as far as is known now.
    verdict: Cell<RunVerdict>,
    /// How it ends once its answer was written; how it was cut if that is known.
    end: Cell<Option<RequestEnd>>,
    arrived: Instant,
    /// Time that it needs from its sending to the end of its answer.
    needed_time: Cell<Duration>,
}

impl OpenRequest {
    pub(super) fn new(number: u64, arrived: Instant) -> Self {
        Self {
            number,
            id: RefCell::default(),
            place: Cell::new(RequestPlace::Body),
            verdict: Cell::new(RunVerdict::NotRun),
            end: Cell::new(None),
            arrived,
            needed_time: Cell::new(Duration::ZERO),
        }
    }

    /// Returns the id that the caller has given the request.
    pub fn id(&self) -> String {
        self.id.borrow().clone()
    }

    /// Sets the id that the caller has given the request.
    pub fn set_id(&self, id: &str) {
        self.id.replace(id.to_string());
    }

    /// Returns where the request stands.
    pub fn place(&self) -> RequestPlace {
        self.place.get()
    }

    /// Sets where the request stands.
    pub fn set_place(&self, place: RequestPlace) {
        self.place.set(place);
    }

    /// Returns whether a target may have run the request, as far as is known now.
    pub fn verdict(&self) -> RunVerdict {
        self.verdict.get()
    }

    /// Sets whether a target may have run the request.
    pub fn set_verdict(&self, verdict: RunVerdict) {
        self.verdict.set(verdict);
    }

    /// Records that the request leaves this process: a target may have run it from now on.
    pub fn record_sent(&self) {
        self.place.set(RequestPlace::Sent);
        self.verdict.set(self.verdict().max(RunVerdict::MayHaveRun));
    }

    /// Returns how the request ends once its answer was written, or how it was cut; `None` if neither
    /// is known yet.
    pub fn end(&self) -> Option<RequestEnd> {
        self.end.get()
    }

    /// Sets how the request ends once its answer was written, or how it was cut.
    pub fn set_end(&self, end: RequestEnd) {
        self.end.set(Some(end));
    }

    /// Returns the time that the request needs from its sending to the end of its answer.
    pub fn needed_time(&self) -> Duration {
        self.needed_time.get()
    }

    /// Sets the time that the request needs from its sending to the end of its answer.
    pub fn set_needed_time(&self, time: Duration) {
        self.needed_time.set(time);
    }

    /// Returns the time at which the head of the request had arrived.
    pub fn arrived(&self) -> Instant {
        self.arrived
    }
}
