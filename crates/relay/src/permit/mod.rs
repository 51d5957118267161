mod ask_permit;
mod permit_desk;
mod permit_frame;

pub use {
    ask_permit::ask_permit,
    permit_desk::grant_permit,
    permit_frame::{PermitFrame, PermitSubject},
};
