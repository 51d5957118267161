mod control_loop;
mod control_state;
mod life_controller;
mod member_controller;
mod member_words;
mod operator_server;
mod peer_frames;
mod platform_client;
mod sheet_controller;
mod sheet_fetch;

pub use {
    control_loop::{ControlParts, run_control},
    control_state::ControlState,
    member_controller::MemberController,
    sheet_controller::{SheetController, SheetWord},
};
