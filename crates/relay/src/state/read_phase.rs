use crate::{dialect::StoreItem, state::AnswerOrigin};

/// How the store is read at present.
#[derive(Debug)]
pub(super) enum ReadPhase {
    /// All items are read, page by page.
    Reading {
        /// Items of the pages read so far.
        items: Vec<StoreItem>,
        /// Key after which the next page begins; `None` for the first page.
        after: Option<String>,
        /// Origin of the first page; `None` until it is read.
        first_origin: Option<AnswerOrigin>,
    },
    /// All items have been read, and the store is watched for changes.
    Watching,
}

impl ReadPhase {
    /// Returns the phase in which the first page is read.
    pub(super) fn start() -> Self {
        Self::Reading {
            items: Vec::new(),
            after: None,
            first_origin: None,
        }
    }
}
