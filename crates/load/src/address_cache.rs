use {
    base::{CustomerId, EntryAddress, SheetVersion},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Unused tickets that are kept per entry; older ones are dropped, as they are likely to expire
/// before they are used.
const MAX_TICKETS_PER_ENTRY: usize = 64;

/// Body of an entry's answer to `GET /addresses`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Entries in the order in which a caller should try them.
    pub addresses: Vec<EntryAddress>,
    /// Time for which the answer may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Version of the sheet in force at the entry.
    pub sheet_version: SheetVersion,
    /// Unused tickets of the entry that answered.
    #[serde(default)]
    pub tickets: Vec<String>,
}

/// Entry addresses with their expiry time, and unused tickets, shared by one customer's callers.
///
/// ```
/// use {base::EntryAddress, load::{AddressAnswer, AddressCache}, std::time::{Duration, Instant}};
///
/// let now = Instant::now();
/// let mut cache = AddressCache::new("dairy");
/// assert!(cache.needs_refresh(now));
/// let address = EntryAddress { host: String::from("h1"), address: String::from("127.0.0.1:1") };
/// let answer = AddressAnswer { addresses: vec![address], keep_ms: 1_000, ..Default::default() };
/// cache.store_answer(now, "127.0.0.1:1", answer);
/// assert!(!cache.needs_refresh(now));
/// assert_eq!(cache.ranked_addresses(), ["127.0.0.1:1"]);
/// assert!(cache.needs_refresh(now + Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone)]
pub struct AddressCache {
    /// Customer whose callers use the addresses.
    pub customer: CustomerId,
    ranked_addresses: Vec<String>,
    expires_at: Option<Instant>,
    sheet_version: SheetVersion,
    tickets: BTreeMap<String, Vec<String>>,
}

impl AddressCache {
    /// Creates an empty cache.
    pub fn new(customer: impl Into<String>) -> Self {
        Self {
            customer: customer.into(),
            ranked_addresses: Vec::new(),
            expires_at: None,
            sheet_version: 0,
            tickets: BTreeMap::new(),
        }
    }

    /// Returns true if there are no addresses or they have expired, so that an entry must be asked
    /// before the next send.
    pub fn needs_refresh(&self, now: Instant) -> bool {
        self.expires_at.is_none_or(|expires_at| expires_at <= now)
            || self.ranked_addresses.is_empty()
    }

    /// Replaces the addresses with those of an answer and adds the tickets that the entry at this
    /// address handed out.
    pub fn store_answer(&mut self, now: Instant, entry_address: &str, answer: AddressAnswer) {
        let ranked_addresses = answer.addresses.into_iter().map(|entry| entry.address);
        self.ranked_addresses = ranked_addresses.collect();
        self.expires_at = Some(now + Duration::from_millis(answer.keep_ms));
        self.sheet_version = self.sheet_version.max(answer.sheet_version);
        self.store_tickets(entry_address, answer.tickets);
    }

    /// Marks the addresses as expired, for instance when none of them can be reached.
    pub fn invalidate(&mut self) {
        self.expires_at = None;
    }

    /// Returns the addresses, also expired ones, in the order in which they should be tried.
    pub fn ranked_addresses(&self) -> Vec<String> {
        self.ranked_addresses.clone()
    }

    /// Returns the latest sheet version in any answer; 0 if there was none.
    pub fn sheet_version(&self) -> SheetVersion {
        self.sheet_version
    }

    /// Stores tickets that the entry at this address handed out; drops the oldest beyond the limit.
    pub fn store_tickets(&mut self, entry_address: &str, tickets: Vec<String>) {
        let stored = self.tickets.entry(entry_address.to_string()).or_default();
        stored.extend(tickets);
        if stored.len() > MAX_TICKETS_PER_ENTRY {
            stored.drain(..stored.len() - MAX_TICKETS_PER_ENTRY);
        }
    }

    /// Removes and returns the newest ticket that the entry at this address handed out.
    pub fn take_ticket(&mut self, entry_address: &str) -> Option<String> {
        self.tickets.get_mut(entry_address)?.pop()
    }
}
