mod store_reader;
mod store_replica;

pub use {
    store_reader::{check_store, read_store},
    store_replica::{PeerRevision, StateView, StoreReplica, StoreRequest},
};
