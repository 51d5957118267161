//! Faults of this program end the work that they hit, and nothing else.

mod panic_guard;
mod task_supervisor;

pub use {
    panic_guard::PanicCaught,
    panic_guard::catch_panic,
    task_supervisor::{TaskLabel, TaskSupervisor},
};
