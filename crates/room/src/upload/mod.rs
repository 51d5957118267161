//! The room of request bodies, and which bodies give way where it is short.

mod arriving_upload;
mod upload_lease;
mod upload_room;

pub use {
    arriving_upload::UPLOAD_TIMEOUT,
    upload_lease::UploadLease,
    upload_room::{NoRoom, UploadRoom},
};
