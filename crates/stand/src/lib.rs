//! Stand-ins for the systems around camphorramp, used by tests and the demo only: the answers that
//! they give, the types of their operators' interfaces, and a helper that publishes sheets.

mod call_record;
mod echo_rule;
mod engine_order;
mod platform_fault;
mod proxy_fault;
mod sheet_publisher;
mod stand_control;

pub use {
    call_record::{CallOutcome, CallRecord, TargetHealth},
    echo_rule::{EchoRule, EchoStage},
    engine_order::{EngineOrder, EngineState},
    platform_fault::{PlatformFault, PlatformMode},
    proxy_fault::{DirectionFault, ProxyDestination, ProxyFault},
    sheet_publisher::SheetPublisher,
    stand_control::StandControl,
};
