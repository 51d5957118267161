use {
    crate::{data::EntryCore, shared::FleetView},
    base::{EntryAddress, SheetVersion},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Which entries a customer should use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Entries, best first.
    pub addresses: Vec<EntryAddress>,
    /// Time for which the answer may be kept, in milliseconds.
    pub keep_ms: u64,
    /// Version of the sheet in force.
    pub sheet_version: SheetVersion,
    /// Single-use tickets for non-idempotent requests.
    pub tickets: Vec<String>,
}

impl AddressAnswer {
    /// Answer for a customer.
    pub fn new(core: &EntryCore, fleet: &FleetView, customer: &str) -> Self {
        let settings = &core.settings.answers;
        Self {
            addresses: entry_addresses(core, fleet, customer),
            keep_ms: millis(settings.keep),
            sheet_version: fleet.version(),
            tickets: core.tickets(settings.tickets),
        }
    }
}

/// Entries that a customer should use, best first.
pub fn entry_addresses(core: &EntryCore, fleet: &FleetView, customer: &str) -> Vec<EntryAddress> {
    let row = fleet
        .sheet
        .as_ref()
        .and_then(|sheet| sheet.customers.get(customer));
    let count = row
        .and_then(|row| row.entries)
        .unwrap_or(core.settings.answers.entries);
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    fleet
        .hosts
        .iter()
        .take(count)
        .map(|row| EntryAddress {
            host: row.host.clone(),
            address: row.callers.clone(),
        })
        .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
