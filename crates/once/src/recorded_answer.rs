use serde::{Deserialize, Serialize};

/// Final answer to a request with a ticket, kept so that a repetition of the request gets the same
/// answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}
