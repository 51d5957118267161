//! The run of one request through the stages of its pipeline, as a state machine without I/O.

mod call_failure;
mod exposure_log;
mod run_action;
mod run_event;
mod run_plan;
mod run_state;
mod token_tally;

pub use {
    call_failure::{CallFailure, UnsentProof},
    exposure_log::ExposureLog,
    run_action::{CallOrder, RunAction, RunAnswer},
    run_event::RunEvent,
    run_plan::{PlanStage, RunPlan},
    run_state::RunState,
};
