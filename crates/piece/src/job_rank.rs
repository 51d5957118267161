use serde::{Deserialize, Serialize};

/// How urgent a job is, and whose it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRank {
    /// Priority of the request; 0 goes first where there is not room for all.
    pub urgency: u8,
    /// Hash of the organisation that the request belongs to; 0 if it needs no key.
    pub customer: u64,
}
