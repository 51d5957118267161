//! Bounds of the memory that requests and answers may hold together.

mod answer_room;
mod arriving_upload;
mod call_body;
mod machine_memory;
mod memory_shares;
mod read_upload;
mod sliced_body;
mod upload_buffer;
mod upload_lease;
mod upload_room;

pub use {
    answer_room::AnswerRoom,
    call_body::{BodyReader, CallBody},
    machine_memory::machine_memory,
    memory_shares::MemoryShares,
    read_upload::{UploadFault, read_upload},
    sliced_body::SlicedBody,
    upload_lease::UploadLease,
    upload_room::{NoRoom, UploadRoom},
};
