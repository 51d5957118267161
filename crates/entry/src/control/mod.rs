mod control_loop;
mod platform_client;

pub use control_loop::{ControlParts, run_control};
