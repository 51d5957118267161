mod hop_slot;
mod send_hop;

pub use {
    hop_slot::{HopSlot, must_hand_over, until_hop},
    send_hop::send_hop,
};
