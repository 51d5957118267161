//! Planning of orders to model engines: which host owns a target, what state its engine should be
//! in, and when to send the order.

mod engine_order;
mod engine_state;
mod fencing_token;
mod load_bucket;
mod order_action;
mod order_event;
mod order_limits;
mod order_planner;
mod order_time;
mod reading_context;
mod target_ownership;
mod target_progress;
mod wanted_state;

pub use {
    engine_order::EngineOrder,
    engine_state::EngineState,
    fencing_token::{FencingToken, next_fence, packed_fence},
    load_bucket::LoadBucket,
    order_action::{OrderAction, OrderReport},
    order_event::{OrderEvent, ReadingNumber},
    order_limits::OrderLimits,
    order_planner::OrderPlanner,
    order_time::OrderTime,
    target_ownership::TargetOwnership,
    wanted_state::WantedState,
};
