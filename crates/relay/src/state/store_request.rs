use {
    plan::{BootTime, StoreEra},
    std::time::Duration,
};

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads a page of all items.
    Read {
        /// Key after which the page begins, as the previous page gave it; `None` for the first
        /// page.
        after: Option<String>,
    },
    /// Waits for changes.
    Watch {
        /// Revision of the store; only later changes are wanted.
        revision: u64,
        /// Longest time to wait for the first change.
        wait: Duration,
    },
}

/// Where an answer with contents of the store comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerOrigin {
    /// Era of the store that the answer states; 0 if it states none.
    pub era: StoreEra,
    /// Time of the call to the store; `None` if a peer passed the contents on, which is no evidence
    /// that they are the latest ones.
    pub called_at: Option<BootTime>,
}
