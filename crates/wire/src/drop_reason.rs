use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Why received bytes were dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Longer than any message may be.
    TooLong,
    /// Shorter than the shortest message.
    Truncated,
    /// Of another layout version.
    OtherVersion,
    /// The keyed hash does not match: damaged, or sealed with another key.
    WrongHash,
    /// The seal is right but the content is no message.
    Malformed,
}

impl fmt::Display for DropReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
