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
    let customer_settings = fleet
        .sheet
        .as_ref()
        .and_then(|sheet| sheet.customers.get(customer));
    let ranking = EntryRanking::new(
        fleet
            .entries
            .iter()
            .map(|host| (host.host.clone(), host.size)),
    );
    let configured_count = customer_settings
        .and_then(|settings| settings.entries)
        .or(core.settings.answers.entries);
    let weight = customer_settings.map_or(1, |settings| settings.weight);
    let count = ranking.entry_count(configured_count, weight, fleet.total_weight);
    let ranked = ranking.rank(customer, count);
    let hosts = ranked
        .iter()
        .filter_map(|name| fleet.entries.iter().find(|host| host.host == *name));
    let (confirmed, unconfirmed): (Vec<_>, Vec<_>) = hosts.partition(|host| host.confirmed);
    let hosts = confirmed.into_iter().chain(unconfirmed);
    hosts
        .map(|host| EntryAddress {
            host: host.host.clone(),
            address: host.callers.clone(),
        })
        .collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
