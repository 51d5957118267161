//! Decides on retries and hedges of calls, and stops requests that crash targets.

mod attempt_tracker;
mod crash_entry;
mod crash_record;
mod crash_settings;
mod crash_tracker;
mod crash_verdict;
mod fleet_budget;
mod hedge_policy;
mod parts;
mod retry_budget;
mod running_calls;

pub use {
    attempt_tracker::{AttemptTracker, RetryDecision, SendFault},
    crash_record::{
        CrashFingerprint, CrashRecord, TargetStrikes, TrackedCall, fingerprint,
        fingerprint_in_pieces, short_hash,
    },
    crash_settings::CrashTrackerSettings,
    crash_tracker::CrashTracker,
    crash_verdict::{CrashVerdict, RunPermit, TrackedCallEnd},
    fleet_budget::{FleetBudget, FleetBudgetSettings},
    hedge_policy::{HedgeCandidate, HedgePolicy},
    parts::{
        CRASH_LIFETIME, CrashKey, PartChange, PartCrash, PartKey, PartNews, PartProof, PartTracker,
        PartVerdict, TrialDesk, crash_key, part_keys, request_key,
    },
    retry_budget::{RetryBudget, RetryBudgetSettings},
};
