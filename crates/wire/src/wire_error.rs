use std::fmt;

/// Why a message could not be sealed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// The sealed message would exceed the size limit.
    TooLong {
        /// Size that it would have, in bytes.
        bytes: usize,
        /// Largest allowed size, in bytes.
        limit: usize,
    },
    /// The message could not be encoded.
    Codec {
        /// Error text of the codec.
        message: String,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { bytes, limit } => {
                write!(
                    formatter,
                    "message of {bytes} bytes exceeds the limit of {limit} bytes"
                )
            }
            Self::Codec { message } => write!(formatter, "message could not be encoded: {message}"),
        }
    }
}

impl std::error::Error for WireError {}
