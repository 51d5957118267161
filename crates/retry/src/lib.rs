//! Decides on retries and hedges of calls, and stops requests that crash targets.

mod attempt_tracker;
mod crash_entry;
mod crash_record;
mod crash_tracker;
mod fleet_budget;
mod hedge_policy;
mod retry_budget;
mod running_calls;

pub use {
    attempt_tracker::{AttemptTracker, RetryDecision, SendFault},
    crash_record::{
        CrashFingerprint, CrashRecord, TargetStrikes, TrackedCall, fingerprint, short_hash,
    },
    crash_tracker::{CrashTracker, CrashTrackerSettings, CrashVerdict, RunPermit, TrackedCallEnd},
    fleet_budget::{FleetBudget, FleetBudgetSettings},
    hedge_policy::{HedgeCandidate, HedgePolicy},
    retry_budget::{RetryBudget, RetryBudgetSettings},
};
