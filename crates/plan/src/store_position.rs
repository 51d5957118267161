use serde::{Deserialize, Serialize};

/// Number of the store's history; it rises each time that the store comes back from an older copy.
pub type StoreEra = u64;

/// A place in the history of the platform's store.
///
/// After the store has come back from an older copy it gives out the same revisions again, so a
/// revision says nothing without its era. Positions are ordered by era first.
///
/// ```
/// use plan::StorePosition;
///
/// let before = StorePosition { era: 1, revision: 900 };
/// let after = StorePosition { era: 2, revision: 850 };
/// assert!(after > before);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era of the store; 0 if it states none.
    pub era: StoreEra,
    /// Revision of the store within the era; 0 before the first read.
    pub revision: u64,
}
