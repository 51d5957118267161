use crate::PartKey;

/// A change in what is held against a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChange {
    /// The part is suspect now.
    Suspected {
        /// The part.
        part: PartKey,
        /// Number of targets that crashed under it.
        crashes: usize,
    },
    /// The part is no longer suspect.
    Cleared {
        /// The part.
        part: PartKey,
    },
}
