//! Routing: which entries a customer uses and which target a call goes to.

mod call_outcome;
mod entry_ranking;
mod outlier_rule;
mod pool_settings;
mod target_choice;
mod target_pool;
mod target_record;
mod target_spec;
mod target_status;

pub use {
    call_outcome::CallOutcome,
    entry_ranking::{DEFAULT_ENTRIES, EntryRanking},
    pool_settings::PoolSettings,
    target_pool::{Pick, PickQuery, TargetPool},
    target_spec::TargetSpec,
    target_status::{StandingChange, TargetStanding, TargetStatus},
};
