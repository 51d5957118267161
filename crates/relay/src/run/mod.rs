mod call_slot;
mod relay_run;
mod run_request;
mod send_once;
mod stream_pump;

pub use run_request::run_request;
