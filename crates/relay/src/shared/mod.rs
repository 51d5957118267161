mod boot_clock;
mod client_metrics;
mod core_crashes;
mod core_limits;
mod core_parts;
mod core_peers;
mod core_targets;
mod limited_place;
mod relay_core;
mod relay_metrics;
mod relay_phase;

pub use {
    boot_clock::boot_time,
    core_parts::part_name,
    limited_place::LimitedPlace,
    relay_core::{DialectSet, RelayCore},
    relay_metrics::RelayMetrics,
    relay_phase::RelayPhase,
};
