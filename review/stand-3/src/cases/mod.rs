//! The cases.

mod crashed_replicas;
mod removed_replica;

pub use {crashed_replicas::crashed_replicas, removed_replica::removed_replica};
