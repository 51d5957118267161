//! Harness for integration tests with real processes. It starts a fleet, injects faults, sends
//! requests as a caller does, and kills every process that it started.

mod child_process;
mod fleet_faults;
mod fleet_harness;
mod fleet_plan;
mod fleet_waits;
mod json_probe;
mod process_table;
mod run_outcome;
mod run_request;
mod test_caller;
mod test_stream;
mod wait_until;

pub use {
    child_process::ChildProcess,
    fleet_harness::FleetHarness,
    fleet_plan::{EntryPlan, FleetPlan, TargetPlan},
    json_probe::JsonProbe,
    run_outcome::RunOutcome,
    run_request::RunRequest,
    test_caller::{AddressAnswer, TestCaller},
    test_stream::TestStream,
    wait_until::wait_until,
};
