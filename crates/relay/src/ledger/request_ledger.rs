use {
    crate::ledger::{OpenRequest, RequestEnd},
    prometheus_client::metrics::{counter::Counter, family::Family},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::Instant,
    },
};

/// Label of the counters of ends: `end`.
pub type EndLabel = [(&'static str, &'static str); 1];

/// The open requests of this process, and how the others have ended.
///
/// The number of requests that were read whole is the sum of the ends, plus the open ones among them.
#[derive(Default)]
pub struct RequestLedger {
    open: RefCell<BTreeMap<u64, Rc<OpenRequest>>>,
    next_number: Cell<u64>,
    /// Requests that were read whole.
    pub read: Counter,
    /// Ends of the requests that were read whole.
    pub ends: Family<EndLabel, Counter>,
    /// Requests that have ended before they were read whole.
    pub unread: Counter,
}

impl RequestLedger {
    /// Creates a ledger without requests; each end is counted, from 0.
    pub fn new() -> Self {
        let ledger = Self::default();
        for end in RequestEnd::ALL {
            drop(ledger.ends.get_or_create(&[("end", end.name())]));
        }
        ledger
    }

    /// Opens a request whose head has arrived.
    pub(super) fn open(&self, arrived: Instant) -> Rc<OpenRequest> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request = Rc::new(OpenRequest::new(number, arrived));
        self.open.borrow_mut().insert(number, Rc::clone(&request));
        request
    }

    /// Closes a request that has ended; `end` is `None` if it was not read whole.
    pub(super) fn close(&self, request: &OpenRequest, end: Option<RequestEnd>) {
        let was_open = self.open.borrow_mut().remove(&request.number).is_some();
        if !was_open {
            return;
        }
        match end {
            Some(end) => drop(self.ends.get_or_create(&[("end", end.name())]).inc()),
            None => drop(self.unread.inc()),
        }
    }

    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the open requests, oldest first.
    pub fn open_requests(&self) -> Vec<Rc<OpenRequest>> {
        self.open.borrow().values().map(Rc::clone).collect()
    }
}
