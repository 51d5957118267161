//! Overload control: admission by deadline, fair queueing of customers and concurrency limits.

mod admission_gate;
mod concurrency_limit;
mod customer_queue;
mod fair_queue;
mod max_wait;
mod queue_refusal;
mod queue_settings;
mod return_line;
mod run_times;
mod stage_estimate;
mod target;
mod waiting_call;

pub use {
    admission_gate::{Admission, AdmissionGate, AdmissionQuery},
    concurrency_limit::{ConcurrencyLimit, LimitRange, ReleaseOutcome},
    fair_queue::FairQueue,
    queue_refusal::QueueRefusal,
    queue_settings::QueueSettings,
    return_line::ReturnLine,
    run_times::RunTimes,
    stage_estimate::StageEstimate,
    target::{
        BrittleServices, LimitDesk, LimitNotice, LimitWord, RoomDesk, TargetLimits, TargetWord,
        call_interval,
    },
    waiting_call::{PoppedCall, QueuedCall, WaitingCall},
};
