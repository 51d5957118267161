use {
    base::{CustomerId, EntryAddress, SheetVersion},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Tickets of one entry that are kept; a ticket that waits longer than its time is of no use.
const KEPT_TICKETS: usize = 64;

/// Answer of an entry to the question which addresses to use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Entries in the order in which they should be tried.
    pub addresses: Vec<EntryAddress>,
    /// Milliseconds for which the answer may be kept.
    pub keep_ms: u64,
    /// Version of the sheet in force.
    pub sheet_version: SheetVersion,
    /// Fresh tickets of the entry that was asked.
    #[serde(default)]
    pub tickets: Vec<String>,
}

/// What one customer's callers keep: addresses for their time, and unused tickets.
///
/// ```
/// use {base::EntryAddress, load::{AddressAnswer, AddressBook}, std::time::{Duration, Instant}};
///
/// let now = Instant::now();
/// let mut book = AddressBook::new("dairy");
/// assert!(book.needs_answer(now));
/// let address = EntryAddress { host: String::from("h1"), address: String::from("127.0.0.1:1") };
/// let answer = AddressAnswer { addresses: vec![address], keep_ms: 1_000, ..Default::default() };
/// book.keep(now, "127.0.0.1:1", answer);
/// assert!(!book.needs_answer(now));
/// assert_eq!(book.ranked(), ["127.0.0.1:1"]);
/// assert!(book.needs_answer(now + Duration::from_secs(1)));
/// ```
#[derive(Debug, Clone)]
pub struct AddressBook {
    /// Customer that the addresses are for.
    pub customer: CustomerId,
    ranked: Vec<String>,
    kept_until: Option<Instant>,
    sheet_version: SheetVersion,
    tickets: BTreeMap<String, Vec<String>>,
}

impl AddressBook {
    /// Book of a customer that has asked nobody yet.
    pub fn new(customer: impl Into<String>) -> Self {
        Self {
            customer: customer.into(),
            ranked: Vec::new(),
            kept_until: None,
            sheet_version: 0,
            tickets: BTreeMap::new(),
        }
    }

    /// True if an entry must be asked before the next send.
    pub fn needs_answer(&self, now: Instant) -> bool {
        self.kept_until.is_none_or(|until| until <= now) || self.ranked.is_empty()
    }

    /// Takes in the answer that the entry at `source` gave.
    pub fn keep(&mut self, now: Instant, source: &str, answer: AddressAnswer) {
        let ranked = answer.addresses.into_iter().map(|row| row.address);
        self.ranked = ranked.collect();
        self.kept_until = Some(now + Duration::from_millis(answer.keep_ms));
        self.sheet_version = self.sheet_version.max(answer.sheet_version);
        self.store_tickets(source, answer.tickets);
    }

    /// Gives the kept addresses up, for instance when none of them can be reached.
    pub fn forget(&mut self) {
        self.kept_until = None;
    }

    /// Addresses in the order in which they should be tried.
    pub fn ranked(&self) -> Vec<String> {
        self.ranked.clone()
    }

    /// Latest sheet version that any answer named.
    pub fn sheet_version(&self) -> SheetVersion {
        self.sheet_version
    }

    /// Keeps tickets that the entry at `source` handed out.
    pub fn store_tickets(&mut self, source: &str, tickets: Vec<String>) {
        let kept = self.tickets.entry(source.to_string()).or_default();
        kept.extend(tickets);
        if kept.len() > KEPT_TICKETS {
            kept.drain(..kept.len() - KEPT_TICKETS);
        }
    }

    /// Takes the freshest ticket that the entry at `source` handed out.
    pub fn take_ticket(&mut self, source: &str) -> Option<String> {
        self.tickets.get_mut(source)?.pop()
    }
}
