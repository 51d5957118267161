//! Orders to engines: who owns a target, what its engine should run, and when to order it.

mod engine_order;
mod engine_state;
mod fence_number;
mod load_bucket;
mod order_action;
mod order_case;
mod order_event;
mod order_limits;
mod order_planner;
mod order_time;
mod target_ownership;
mod target_plan;
mod wanted_state;

pub use {
    engine_order::EngineOrder,
    engine_state::EngineState,
    fence_number::{FenceNumber, next_fence, packed_fence},
    load_bucket::LoadBucket,
    order_action::{OrderAction, OrderReport},
    order_event::{OrderEvent, ReadingNumber},
    order_limits::OrderLimits,
    order_planner::OrderPlanner,
    order_time::OrderTime,
    target_ownership::TargetOwnership,
    wanted_state::WantedState,
};
