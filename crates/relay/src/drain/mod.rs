//! The shutdown of the process: every request that it has read gets its final answer before.

mod exit_limit;
mod exit_plan;
mod exit_times;
mod needed_time;
mod shut_down;

pub use {
    exit_limit::until_exit_limit, exit_plan::ExitPlan, exit_times::ExitTimes,
    needed_time::needed_time, shut_down::shut_down_gracefully,
};
