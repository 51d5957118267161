use {crate::PartKey, std::time::Duration};

/// Whether a request may be sent, by the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartVerdict {
    /// No part is suspect.
    Clear,
    /// The request may not be sent now.
    Held {
        /// The suspect part.
        part: PartKey,
        /// Time until a request with the part may be tried.
        retry_in: Duration,
    },
    /// One request at a time in the whole fleet may be sent to try these parts.
    Trial {
        /// The suspect parts.
        parts: Vec<PartKey>,
    },
}
