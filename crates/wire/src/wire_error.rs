use std::fmt;

/// Why a message could not be sealed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireError {
    /// The sealed message would be longer than the limit.
    TooLong {
        /// Bytes that it would have.
        bytes: usize,
        /// Bytes that it may have.
        limit: usize,
    },
    /// The codec refused the message.
    Codec {
        /// Words of the codec.
        message: String,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong { bytes, limit } => {
                write!(formatter, "message of {bytes} bytes exceeds {limit}")
            }
            Self::Codec { message } => write!(formatter, "codec: {message}"),
        }
    }
}

impl std::error::Error for WireError {}
