//! The cases, one module each.

pub mod late_stream;
pub mod moved_route;
pub mod older_copy_start;
pub mod reused_address;
pub mod silence_after_restart;
