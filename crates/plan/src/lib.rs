//! Typed form of the configuration in force: routes, services, API keys and targets.

mod cold_rate;
mod evacuation_list;
mod fleet_plan;
mod key_registry;
mod plan_evidence;
mod route_rule;
mod service_spec;
mod store_position;
mod target_row;

pub use {
    cold_rate::ColdRate,
    evacuation_list::EvacuationList,
    fleet_plan::FleetPlan,
    key_registry::{KeyOwner, KeyRegistry},
    plan_evidence::{BootTime, PlanEvidence},
    route_rule::{RepeatRule, RouteRule, StageRule},
    service_spec::{EngineSpec, PieceSpec, ServiceSpec},
    store_position::{StoreEra, StorePosition},
    target_row::{SoftwareVersion, TargetMap, TargetRow},
};

/// Name of a service: a group of targets that serve the same calls.
pub type ServiceId = String;
/// Version of a configuration; larger means later.
pub type PlanVersion = u64;
