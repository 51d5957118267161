mod ask_permit;
mod pass_limit;
mod permit_desk;
mod permit_frame;
mod room_lease;

pub use {
    ask_permit::ask_permit,
    pass_limit::{CallPass, pass_limit},
    permit_desk::grant_permit,
    permit_frame::{PermitAnswer, PermitFrame, PermitSubject},
    room_lease::RoomLease,
};
