use {
    route::{AttemptKey, StreamOrigin},
    serde::{Deserialize, Serialize},
};

/// A message between an entry that began or resumes a stream and an entry that remembers where it
/// began. The numbers are chosen by the asking entry and unique within a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginFrame {
    /// Tells where a stream began.
    Tell(StreamOrigin),
    /// Asks where a stream began.
    Ask {
        /// Number of the question.
        number: u64,
        /// The caller's try that brought the first event.
        attempt: AttemptKey,
    },
    /// Answers a question.
    Found {
        /// Number of the question.
        number: u64,
        /// Where the stream began; `None` if that is not known.
        origin: Option<StreamOrigin>,
    },
}
