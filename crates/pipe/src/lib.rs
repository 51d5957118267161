//! The run of one request through the stages of its pipeline, as a state machine without I/O.

mod call_failure;
mod call_history;
mod run_action;
mod run_event;
mod run_plan;
mod run_state;
mod stream_progress;

pub use {
    call_failure::{CallFailure, NotRunProof},
    call_history::CallHistory,
    run_action::{CallSpec, RunAction, RunAnswer},
    run_event::RunEvent,
    run_plan::{PlanStage, RunPlan},
    run_state::RunState,
};
