use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Why a received datagram or frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// It exceeds the size limit.
    TooLong,
    /// It is shorter than the shortest message, or the connection ended within a frame.
    Truncated,
    /// It was sealed with a schema that this build does not read.
    OtherVersion,
    /// The keyed hash does not match: the bytes were damaged or sealed with another key.
    WrongHash,
    /// The keyed hash is right but the content does not decode as a message.
    Malformed,
}

impl fmt::Display for DropReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
