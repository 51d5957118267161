mod control_loop;
mod control_state;
mod operator_server;
mod platform_client;

pub use {
    control_loop::{ControlParts, run_control},
    control_state::ControlState,
};
