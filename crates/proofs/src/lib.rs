//! Harness for integration tests with real processes: it starts a fleet, breaks it, calls it
//! as callers do, and ends everything it started.

mod child_process;
mod fleet_harness;
mod fleet_plan;
mod json_probe;
mod run_outcome;
mod run_request;
mod test_caller;
mod wait_until;

pub use {
    child_process::ChildProcess,
    fleet_harness::FleetHarness,
    fleet_plan::{EntryPlan, FleetPlan, TargetPlan},
    json_probe::JsonProbe,
    run_outcome::RunOutcome,
    run_request::RunRequest,
    test_caller::{AddressAnswer, TestCaller},
    wait_until::wait_until,
};
