//! The cases.

mod crashed_replicas;
mod crashing_piece;
mod crashing_request;
mod frozen_entry;
mod old_copy;
mod removed_replica;

pub use {
    crashed_replicas::crashed_replicas, crashing_piece::crashing_piece,
    crashing_request::crashing_request, frozen_entry::frozen_entry, old_copy::old_copy,
    removed_replica::removed_replica,
};
