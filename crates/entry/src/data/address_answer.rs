use {
    crate::{data::EntryCore, shared::FleetView},
    base::{EntryAddress, SheetVersion},
    route::EntryRanking,
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
    /// What to send as `x-camphor-sheet` with requests: the version with a proof.
    pub sheet_proof: String,
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
            sheet_proof: core.proof.prove(fleet.version()),
            tickets: core.tickets(settings.tickets),
        }
    }
}

/// Entries that a customer should use, best first; those that are not confirmed go last.
pub fn entry_addresses(core: &EntryCore, fleet: &FleetView, customer: &str) -> Vec<EntryAddress> {
    let row = fleet
        .sheet
        .as_ref()
        .and_then(|sheet| sheet.customers.get(customer));
    let ranking = EntryRanking::new(fleet.hosts.iter().map(|row| (row.host.clone(), row.size)));
    let stated = row
        .and_then(|row| row.entries)
        .or(core.settings.answers.entries);
    let weight = row.map_or(1, |row| row.weight);
    let count = ranking.entry_count(stated, weight, fleet.total_weight);
    let ranked = ranking.rank(customer, count);
    let rows = ranked
        .iter()
        .filter_map(|host| fleet.hosts.iter().find(|row| row.host == *host));
    let (confirmed, doubtful): (Vec<_>, Vec<_>) = rows.partition(|row| row.confirmed);
    let rows = confirmed.into_iter().chain(doubtful);
    rows.map(|row| EntryAddress {
        host: row.host.clone(),
        address: row.callers.clone(),
    })
    .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
