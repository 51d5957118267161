use std::fmt;

/// Why the answer to a call cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireFault {
    /// No answer arrived, it is truncated, or its body cannot be parsed.
    Malformed(String),
    /// The store no longer has the changes after the revision that was asked for.
    HistoryGone,
    /// The answer is too long to be read, or to arrive in time.
    TooLong,
    /// The other side refused the call with this HTTP status.
    Refused(u16),
}

impl fmt::Display for WireFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(text) => write!(formatter, "unreadable answer: {text}"),
            Self::HistoryGone => {
                formatter.write_str("the store no longer has the changes that were asked for")
            }
            Self::TooLong => formatter.write_str("the answer is too long"),
            Self::Refused(status) => write!(formatter, "refused with status {status}"),
        }
    }
}
