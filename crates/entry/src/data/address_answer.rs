use {
    crate::{data::EntryCore, shared::FleetView},
    base::{EntryAddress, SheetVersion},
    route::EntryRanking,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Answer that tells a customer which entries to use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Entries, best first.
    pub addresses: Vec<EntryAddress>,
    /// Time for which the answer may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Version of the sheet in force.
    pub sheet_version: SheetVersion,
    /// Value of the `x-camphor-sheet` header for requests: the version with its proof.
    pub sheet_proof: String,
    /// Single-use tickets for non-idempotent requests.
    pub tickets: Vec<String>,
}

impl AddressAnswer {
    /// Creates the answer for a customer.
    pub fn new(core: &EntryCore, fleet: &FleetView, customer: &str) -> Self {
        let settings = &core.settings.answers;
        Self {
            addresses: entry_addresses(core, fleet, customer),
            keep_ms: millis(settings.keep),
            sheet_version: fleet.version(),
            sheet_proof: core.sheet_proof.prove(fleet.version()),
            tickets: core.mint_tickets(settings.tickets),
        }
    }
}

/// Returns the entries that a customer should use, best first; unconfirmed ones come last.
pub fn entry_addresses(core: &EntryCore, fleet: &FleetView, customer: &str) -> Vec<EntryAddress> {
    let row = fleet
        .sheet
        .as_ref()
        .and_then(|sheet| sheet.customers.get(customer));
    let ranking = EntryRanking::new(fleet.hosts.iter().map(|row| (row.host.clone(), row.size)));
    let configured_count = row
        .and_then(|row| row.entries)
        .or(core.settings.answers.entries);
    let weight = row.map_or(1, |row| row.weight);
    let count = ranking.entry_count(configured_count, weight, fleet.total_weight);
    let ranked = ranking.rank(customer, count);
    let rows = ranked
        .iter()
        .filter_map(|host| fleet.hosts.iter().find(|row| row.host == *host));
    let (confirmed, unconfirmed): (Vec<_>, Vec<_>) = rows.partition(|row| row.confirmed);
    let rows = confirmed.into_iter().chain(unconfirmed);
    rows.map(|row| EntryAddress {
        host: row.host.clone(),
        address: row.callers.clone(),
    })
    .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
