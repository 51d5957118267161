//! Retries, hedges and crash suspects.

mod crash_ledger;
mod crash_record;
mod hedge_policy;
mod retry_budget;

pub use {
    crash_ledger::{CrashLedger, CrashVerdict, LedgerSettings, RunEnd, RunPermit},
    crash_record::{CrashFingerprint, CrashRecord, TargetStrikes, fingerprint, target_hash},
    hedge_policy::{HedgeCall, HedgePolicy},
    retry_budget::{BudgetSettings, RetryBudget},
};
