//! Routing: which entries a customer uses and which target a call goes to.

mod entry_ranking;
mod outlier_rule;
mod pool_settings;
mod target_choice;
mod target_pool;
mod target_record;

pub use {
    entry_ranking::{DEFAULT_ENTRIES, EntryRanking},
    pool_settings::PoolSettings,
    target_pool::{Pick, PickQuery, TargetPool},
    target_record::{CallOutcome, StandingChange, TargetSpec, TargetStanding, TargetStatus},
};
