use {
    crate::{
        origin::OriginFrame, permit::PermitFrame, place::PlaceFrame, stage::JobFrame,
        state::FeedFrame,
    },
    serde::{Deserialize, Serialize},
    wire::{OLDEST_SCHEMA, SchemaNumber},
};

/// A message on a connection between two entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// About a job for a shard that the other entry owns.
    Job(JobFrame),
    /// About a place for a request at an engine.
    Place(PlaceFrame),
    /// About the contents of the store.
    Feed(FeedFrame),
    /// About a permit that one entry gives out for the whole fleet.
    Permit(PermitFrame),
    /// About where a stream began.
    Origin(OriginFrame),
}

impl PeerMessage {
    /// Returns the lowest schema that has all parts of the message.
    pub fn schema(&self) -> SchemaNumber {
        match self {
            Self::Feed(frame) => frame.schema(),
            Self::Permit(frame) => frame.schema(),
            Self::Job(frame) => frame.schema(),
            Self::Place(_) | Self::Origin(_) => OLDEST_SCHEMA,
        }
    }
}
