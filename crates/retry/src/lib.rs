//! Retries, hedges and crash suspects.

mod crash_entry;
mod crash_ledger;
mod crash_record;
mod hedge_policy;
mod retry_budget;
mod running_calls;

pub use {
    crash_ledger::{CrashLedger, CrashVerdict, LedgerSettings, RunEnd, RunPermit},
    crash_record::{
        CrashFingerprint, CrashRecord, SuspectCall, TargetStrikes, fingerprint, short_hash,
    },
    hedge_policy::{HedgeCall, HedgePolicy},
    retry_budget::{BudgetSettings, RetryBudget},
};
