use serde::{Deserialize, Serialize};

/// Final answer of a request under a ticket, kept for those who send it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}
