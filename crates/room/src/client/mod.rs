//! The room of clients' connections, and who gives way where it is short.

mod client_room;
mod client_seat;
mod room_counts;

pub use {
    client_room::ClientRoom,
    client_seat::{ClientSeat, SeatEnd, SeatState},
    room_counts::RoomCounts,
};
