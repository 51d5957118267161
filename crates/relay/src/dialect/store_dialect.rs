use {
    crate::dialect::{HeaderList, WireCall, WireFault},
    plan::{ColdRate, FleetPlan, PlanVersion, ServiceId, StoreEra, TargetRow},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    wire::{OLDEST_SCHEMA, SchemaNumber},
};

/// Schema from which on an entry passes on evacuations and cold targets.
pub const ALL_ITEMS_SCHEMA: SchemaNumber = 2;
/// Schema from which on the configuration that an entry passes on says whether requests need a key. An
/// earlier build passes on a configuration without keys as one that needs none, so nobody who knows the
/// difference follows it.
pub const KEY_RULE_SCHEMA: SchemaNumber = 3;

/// One item of the platform's store, or a change to one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreItem {
    /// A version of the configuration.
    Plan(Arc<FleetPlan>),
    /// A target's id and row.
    Target(String, TargetRow),
    /// Id of a target that was removed from the store.
    TargetGone(String),
    /// Key of an item that cannot be parsed, and why not.
    Unreadable(String, String),
    /// An item that this crate does not use.
    Other,
    /// Name of a data centre to whose targets nothing more may be sent.
    Evacuated(String),
    /// Name of a data centre whose evacuation was taken back.
    EvacuationEnded(String),
    /// Id of a target, and for how long it stays cold from now on.
    Cold(String, Duration),
    /// What cold targets bear, by service, and the version of the configuration that says so.
    ColdRates(PlanVersion, BTreeMap<ServiceId, ColdRate>),
}

impl StoreItem {
    /// Returns the lowest schema that has this item.
    pub fn schema(&self) -> SchemaNumber {
        match self {
            Self::Plan(_) | Self::Target(..) | Self::TargetGone(_) => OLDEST_SCHEMA,
            Self::Unreadable(..) | Self::Other => OLDEST_SCHEMA,
            Self::Evacuated(_) | Self::EvacuationEnded(_) => ALL_ITEMS_SCHEMA,
            Self::Cold(..) | Self::ColdRates(..) => ALL_ITEMS_SCHEMA,
        }
    }
}

/// A page of the items of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePage {
    /// The items of the page.
    pub items: Vec<StoreItem>,
    /// Revision of the store at which the page was read.
    pub revision: u64,
    /// Key after which the next page starts; `None` for the last page.
    pub next: Option<String>,
}

/// Changes that were made to the store after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChanges {
    /// The changes, oldest first.
    pub items: Vec<StoreItem>,
    /// Revision up to which the changes are complete.
    pub revision: u64,
}

/// Translates between the HTTP messages of the platform's store and the types of this crate.
pub trait StoreDialect {
    /// Returns the era of the store that an answer states; 0 if it states none.
    fn read_era(&self, headers: &HeaderList) -> StoreEra;

    /// Returns the call that reads a page of the store's items, which begins after the key `after`,
    /// or with the first item if `after` is `None`.
    fn write_page_read(&self, after: Option<&str>) -> WireCall;

    /// Parses a page.
    ///
    /// # Errors
    ///
    /// Fails if the store refused the call or the body is malformed.
    fn read_page(&self, status: u16, body: &[u8]) -> Result<StorePage, WireFault>;

    /// Returns the call that reads the changes after a revision. If there are none, the store waits
    /// for the first one for at most the time `wait`.
    fn write_watch(&self, revision: u64, wait: Duration) -> WireCall;

    /// Parses changes.
    ///
    /// # Errors
    ///
    /// Fails if the store refused the call, no longer has the changes after that revision, or the
    /// body is malformed.
    fn read_changes(&self, status: u16, body: &[u8]) -> Result<StoreChanges, WireFault>;
}
