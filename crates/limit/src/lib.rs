//! Limits: admission by deadline and fair share, concurrency limits.

mod admission_gate;
mod concurrency_limit;
mod customer_lane;
mod fair_queue;
mod queue_refusal;
mod queue_settings;
mod stage_estimate;
mod wait_room;
mod waiting_call;

pub use {
    admission_gate::{Admission, AdmissionGate, AdmissionQuery},
    concurrency_limit::{ConcurrencyLimit, LimitRange, ReleaseOutcome},
    fair_queue::FairQueue,
    queue_refusal::QueueRefusal,
    queue_settings::QueueSettings,
    stage_estimate::StageEstimate,
    waiting_call::{Popped, Queued, WaitingCall},
};
