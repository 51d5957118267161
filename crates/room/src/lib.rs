//! The memory of a process, divided among those who make it hold bytes: connections of clients, the
//! bodies of requests, and answers.
//!
//! All is decided here without I/O; who reads and writes takes room before it does.

mod body_buffer;
mod client;
mod machine_memory;
mod memory_shares;
mod upload;

pub use {
    body_buffer::BodyBuffer,
    client::{ClientRoom, ClientSeat, RoomCounts, SeatEnd, SeatState},
    machine_memory::machine_memory,
    memory_shares::{MIN_MEMORY_MB, MemoryFault, MemoryShares},
    upload::{NoRoom, UPLOAD_TIMEOUT, UploadLease, UploadRoom},
};
