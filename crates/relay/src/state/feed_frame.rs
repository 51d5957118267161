use {
    crate::dialect::{ALL_ITEMS_SCHEMA, StoreItem},
    plan::StorePosition,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    wire::{OLDEST_SCHEMA, SchemaNumber},
};

/// A message of the feed by which an entry that watches the store passes its contents on to the
/// other entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedFrame {
    /// Asks for all changes after a position from now on; sent once, by the follower.
    Follow {
        /// Position up to which the follower knows all changes.
        position: StorePosition,
    },
    /// Changes, oldest first.
    Changes {
        /// Position after which the changes begin.
        from: StorePosition,
        /// Position up to which they are complete.
        to: StorePosition,
        /// The changes.
        items: Vec<StoreItem>,
        /// Time since the sender had the store's first answer after an outage, if there was one.
        returned_ago: Option<Duration>,
    },
    /// The whole contents of the store, for a follower that lacks changes which are no longer kept.
    Snapshot {
        /// Position at which the contents were known.
        position: StorePosition,
        /// The configuration and all targets.
        items: Vec<StoreItem>,
        /// Time since the sender had the store's first answer after an outage, if there was one.
        returned_ago: Option<Duration>,
    },
    /// Nothing has changed; shows that the connection is alive.
    Alive,
    /// Like [`FeedFrame::Follow`], by a follower that reads the items of all schemas.
    FollowAll {
        /// Position up to which the follower knows all changes.
        position: StorePosition,
    },
}

impl FeedFrame {
    /// Returns the lowest schema that has all parts of the message.
    pub fn schema(&self) -> SchemaNumber {
        match self {
            Self::Changes { items, .. } | Self::Snapshot { items, .. } => items_schema(items),
            Self::FollowAll { .. } => ALL_ITEMS_SCHEMA,
            Self::Follow { .. } | Self::Alive => OLDEST_SCHEMA,
        }
    }
}

fn items_schema(items: &[StoreItem]) -> SchemaNumber {
    let schemas = items.iter().map(StoreItem::schema);
    schemas.max().unwrap_or(OLDEST_SCHEMA)
}
