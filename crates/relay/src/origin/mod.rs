mod bind_resumption;
mod confirm_list;
mod find_origin;
mod origin_frame;
mod tell_origin;
mod verify_process;

pub use {
    bind_resumption::bind_resumption,
    find_origin::find_draft_origin,
    origin_frame::OriginFrame,
    tell_origin::{stream_origin, tell_origin},
    verify_process::{ListedProcess, verify_process},
};
