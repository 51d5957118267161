use {
    crate::{stage::JobFrame, state::FeedFrame},
    serde::{Deserialize, Serialize},
};

/// A message on a connection between two entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// About a job for a shard that the other entry owns.
    Job(JobFrame),
    /// About the contents of the store.
    Feed(FeedFrame),
}
