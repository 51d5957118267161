use {
    super::{arrival_clock::sleep_until, entry_client::EntryClient, request_driver::RequestDriver},
    base::SheetVersion,
    load::{AddressBook, ArrivalSchedule, CustomerLoad, LoadTally, WorkloadFile},
    std::{
        cell::RefCell,
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Mutex,
};

/// Time between the start of a run and its first moment of schedule.
const START_DELAY: Duration = Duration::from_millis(100);

/// Sends a schedule to the entries and tallies what becomes of it.
pub struct LoadDriver {
    /// Workload that is sent.
    pub workload: WorkloadFile,
    /// Client for the entries.
    pub client: EntryClient,
    entries: Vec<String>,
    books: RefCell<BTreeMap<String, AddressBook>>,
    asking: BTreeMap<String, Mutex<()>>,
}

impl LoadDriver {
    /// Driver whose callers know these entries to begin with.
    pub fn new(workload: WorkloadFile, entries: Vec<String>) -> Self {
        let names = workload.customer.iter().map(|row| row.name.clone());
        let books = names.clone().map(|name| {
            let book = AddressBook::new(name.as_str());
            (name, book)
        });
        Self {
            client: EntryClient::new(),
            entries,
            books: RefCell::new(books.collect()),
            asking: names.map(|name| (name, Mutex::new(()))).collect(),
            workload,
        }
    }

    /// Sends every request at its time and waits until all are over.
    pub async fn run(self: Rc<Self>, schedule: ArrivalSchedule) -> LoadTally {
        let start = Instant::now() + START_DELAY;
        let tally = Rc::new(RefCell::new(LoadTally::new()));
        let mut tasks = Vec::with_capacity(schedule.requests.len());
        for planned in schedule.requests {
            let arrival = start + planned.at;
            sleep_until(arrival).await;
            let request = RequestDriver::new(Rc::clone(&self), planned, arrival);
            let tally = Rc::clone(&tally);
            tasks.push(actix_rt::spawn(async move {
                if let Some(result) = request.run().await {
                    tally.borrow_mut().add(&result);
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        tally.take()
    }

    /// Addresses that a customer's callers use; asks an entry if none are kept.
    pub async fn ranked(&self, customer: &CustomerLoad) -> Option<Vec<String>> {
        let _asking = match self.asking.get(&customer.name) {
            Some(asking) => Some(asking.lock().await),
            None => None,
        };
        if let Some(ranked) = self.kept(&customer.name) {
            return Some(ranked);
        }
        for entry in self.sources(&customer.name) {
            if let Some(answer) = self.client.addresses(&entry, customer).await {
                self.with_book(&customer.name, |book| {
                    book.keep(Instant::now(), &entry, answer);
                });
                return self.kept(&customer.name);
            }
        }
        None
    }

    /// Latest sheet version that an answer to this customer named.
    pub fn sheet_version(&self, customer: &str) -> SheetVersion {
        self.with_book(customer, |book| book.sheet_version())
            .unwrap_or(0)
    }

    /// Gives up the addresses that a customer keeps.
    pub fn forget(&self, customer: &str) {
        self.with_book(customer, AddressBook::forget);
    }

    /// Takes a ticket that an entry handed out to a customer.
    pub fn take_ticket(&self, customer: &str, address: &str) -> Option<String> {
        self.with_book(customer, |book| book.take_ticket(address))
            .flatten()
    }

    /// Keeps tickets that an entry handed out to a customer.
    pub fn store_tickets(&self, customer: &str, address: &str, tickets: Vec<String>) {
        self.with_book(customer, |book| book.store_tickets(address, tickets));
    }

    fn kept(&self, customer: &str) -> Option<Vec<String>> {
        self.with_book(customer, |book| {
            let stale = book.needs_answer(Instant::now());
            (!stale).then(|| book.ranked())
        })
        .flatten()
    }

    /// Entries to ask: those that the customer knows, then those known to begin with.
    fn sources(&self, customer: &str) -> Vec<String> {
        let mut sources = self
            .with_book(customer, |book| book.ranked())
            .unwrap_or_default();
        sources.extend(self.entries.iter().cloned());
        sources
    }

    fn with_book<T>(&self, customer: &str, act: impl FnOnce(&mut AddressBook) -> T) -> Option<T> {
        self.books.borrow_mut().get_mut(customer).map(act)
    }
}
