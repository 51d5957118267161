mod hop_slot;
mod send_hop;

pub use {
    hop_slot::{HopSlot, until_hop},
    send_hop::send_hop,
};
