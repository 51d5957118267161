//! Limits: admission by deadline and fair share, concurrency limits.

mod admission_gate;
mod concurrency_limit;
mod customer_lane;
mod fair_queue;
mod queue_refusal;
mod stage_times;

pub use {
    admission_gate::{Admission, AdmissionGate, AdmissionQuery},
    concurrency_limit::{ConcurrencyLimit, LimitRange, ReleaseOutcome},
    fair_queue::{FairQueue, Popped, QueueSettings, Queued, WaitingCall},
    queue_refusal::QueueRefusal,
    stage_times::StageTimes,
};
