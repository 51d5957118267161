use {
    super::{arrival_clock::sleep_until, entry_client::EntryClient, request_driver::RequestDriver},
    base::SheetVersion,
    load::{AddressCache, ArrivalSchedule, CustomerLoad, LoadTally, WorkloadFile},
    std::{
        cell::RefCell,
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Mutex,
};

/// Delay between the call of `run` and time zero of the schedule.
const START_DELAY: Duration = Duration::from_millis(100);

/// Sends a schedule of requests to the entries and tallies how they end.
pub struct LoadDriver {
    /// Workload that the schedule was drawn from.
    pub workload: WorkloadFile,
    /// Client that all requests share.
    pub client: EntryClient,
    seed_entries: Vec<String>,
    caches: RefCell<BTreeMap<String, AddressCache>>,
    refresh_locks: BTreeMap<String, Mutex<()>>,
}

impl LoadDriver {
    /// Creates a driver; `seed_entries` are asked for addresses while a customer knows no other
    /// entry.
    pub fn new(workload: WorkloadFile, seed_entries: Vec<String>) -> Self {
        let customer_ids = workload
            .customer
            .iter()
            .map(|customer| customer.name.clone());
        let caches = customer_ids.clone().map(|name| {
            let cache = AddressCache::new(name.as_str());
            (name, cache)
        });
        Self {
            client: EntryClient::new(),
            seed_entries,
            caches: RefCell::new(caches.collect()),
            refresh_locks: customer_ids.map(|name| (name, Mutex::new(()))).collect(),
            workload,
        }
    }

    /// Sends every request at its scheduled time and waits until all have ended.
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

    /// Returns the addresses that a customer's callers use, best first. Asks an entry if none are
    /// cached; one request at a time per customer does so, and the others wait for its answer.
    /// `None` if no entry answered.
    pub async fn ranked_addresses(&self, customer: &CustomerLoad) -> Option<Vec<String>> {
        let _refresh_lock = match self.refresh_locks.get(&customer.name) {
            Some(lock) => Some(lock.lock().await),
            None => None,
        };
        if let Some(ranked_addresses) = self.cached_addresses(&customer.name) {
            return Some(ranked_addresses);
        }
        for entry in self.entries_to_ask(&customer.name) {
            if let Some(answer) = self.client.fetch_addresses(&entry, customer).await {
                self.with_cache(&customer.name, |cache| {
                    cache.store_answer(Instant::now(), &entry, answer);
                });
                return self.cached_addresses(&customer.name);
            }
        }
        None
    }

    /// Returns the latest sheet version in the address answers to this customer; 0 if none.
    pub fn sheet_version(&self, customer: &str) -> SheetVersion {
        self.with_cache(customer, |cache| cache.sheet_version())
            .unwrap_or(0)
    }

    /// Invalidates a customer's cached addresses.
    pub fn invalidate_addresses(&self, customer: &str) {
        self.with_cache(customer, AddressCache::invalidate);
    }

    /// Removes and returns the newest ticket that an entry handed out to a customer.
    pub fn take_ticket(&self, customer: &str, address: &str) -> Option<String> {
        self.with_cache(customer, |cache| cache.take_ticket(address))
            .flatten()
    }

    /// Stores tickets that an entry handed out to a customer.
    pub fn store_tickets(&self, customer: &str, address: &str, tickets: Vec<String>) {
        self.with_cache(customer, |cache| cache.store_tickets(address, tickets));
    }

    fn cached_addresses(&self, customer: &str) -> Option<Vec<String>> {
        self.with_cache(customer, |cache| {
            let needs_refresh = cache.needs_refresh(Instant::now());
            (!needs_refresh).then(|| cache.ranked_addresses())
        })
        .flatten()
    }

    /// Returns the entries to ask for addresses: the customer's last known ones, then the seeds.
    fn entries_to_ask(&self, customer: &str) -> Vec<String> {
        let mut entries = self
            .with_cache(customer, |cache| cache.ranked_addresses())
            .unwrap_or_default();
        entries.extend(self.seed_entries.iter().cloned());
        entries
    }

    fn with_cache<T>(
        &self,
        customer: &str,
        access: impl FnOnce(&mut AddressCache) -> T,
    ) -> Option<T> {
        self.caches.borrow_mut().get_mut(customer).map(access)
    }
}
