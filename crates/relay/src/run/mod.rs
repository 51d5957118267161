mod answer_source;
mod call_slot;
mod crash_watch;
mod part_gate;
mod process_proof;
mod pump_stop;
mod relay_run;
mod run_request;
mod send_next;
mod send_once;
mod silent_target;
mod stream_move;
mod stream_pump;
mod stream_reader;
mod stream_successor;
mod target_choice;
mod version_bond;

pub use {part_gate::held_refusal, relay_run::RelayRun, run_request::run_request};
