//! Routing: chooses the entries that a customer uses and the target that a call goes to.

mod call_outcome;
mod engine_groups;
mod entry_ranking;
mod link;
mod outlier_rule;
mod pool_settings;
mod prefix_cache;
mod prompt_part;
mod service_choice;
mod service_pick;
mod service_pool;
mod service_target;
mod target_choice;
mod target_notices;
mod target_pool;
mod target_record;
mod target_spec;
mod target_status;
mod versions;

pub use {
    call_outcome::CallOutcome,
    engine_groups::{EngineGroup, EngineGroups},
    entry_ranking::{DEFAULT_ENTRIES, EntryRanking},
    link::{LinkChange, TargetLink, pick_checks},
    pool_settings::PoolSettings,
    prompt_part::{PrefixKey, PromptPart, prefix_keys},
    service_pick::{ServiceOutcome, ServicePick, ServiceQuery},
    service_pool::{ServicePool, id_hash},
    service_target::TargetWork,
    target_notices::{NoticeStanding, TargetNotice, TargetNotices},
    target_pool::{Pick, PickQuery, TargetPool},
    target_spec::TargetSpec,
    target_status::{StandingChange, TargetStanding, TargetStatus},
    versions::{AttemptKey, StreamOrigin, StreamOrigins, VersionHistory, VersionRule, attempt_key},
};
