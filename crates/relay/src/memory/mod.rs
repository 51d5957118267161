//! Bounds of the memory that answers may hold together, and the bodies of calls.

mod answer_room;
mod call_body;
mod sliced_body;
mod write_progress;

pub use {
    answer_room::AnswerRoom,
    call_body::{BodyReader, CallBody},
    sliced_body::SlicedBody,
    write_progress::WriteProgress,
};
