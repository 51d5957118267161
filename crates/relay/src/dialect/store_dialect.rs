use {
    crate::dialect::{WireCall, WireFault},
    plan::{FleetPlan, TargetRow},
    std::time::Duration,
};

/// One thing that the platform's store says.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreItem {
    /// The configuration.
    Plan(Box<FleetPlan>),
    /// A target.
    Target(String, TargetRow),
    /// A target that the store no longer lists.
    TargetGone(String),
    /// Something that cannot be read: its key, and what is wrong.
    Unreadable(String, String),
    /// Something of no interest here.
    Other,
}

/// A part of all that the store holds.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePage {
    /// What it says.
    pub items: Vec<StoreItem>,
    /// Revision of the store.
    pub revision: u64,
    /// Where the next page begins, if there is one.
    pub next: Option<String>,
}

/// What has changed in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreChanges {
    /// The changes, oldest first.
    pub items: Vec<StoreItem>,
    /// Revision up to which they go.
    pub revision: u64,
}

/// How the platform's store speaks.
pub trait StoreDialect {
    /// The call that reads a page of all that matters here.
    fn write_read(&self, after: Option<&str>) -> WireCall;

    /// Reads such a page.
    ///
    /// # Errors
    ///
    /// Says why the answer cannot be used.
    fn read_page(&self, status: u16, body: &[u8]) -> Result<StorePage, WireFault>;

    /// The call that waits for changes after a revision.
    fn write_watch(&self, revision: u64, wait: Duration) -> WireCall;

    /// Reads changes.
    ///
    /// # Errors
    ///
    /// Says why the answer cannot be used.
    fn read_changes(&self, status: u16, body: &[u8]) -> Result<StoreChanges, WireFault>;
}
