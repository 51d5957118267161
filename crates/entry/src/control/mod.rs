mod control_loop;
mod control_state;
mod member_controller;
mod member_timeline;
mod operator_server;
mod peer_frames;
mod platform_client;
mod sheet_controller;
mod sheet_fetch;
mod shutdown;

pub use {
    control_loop::{ControlInputs, run_control},
    control_state::ControlState,
    member_controller::MemberController,
    sheet_controller::{SheetController, SheetNotice},
};
