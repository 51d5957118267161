//! Tests how pieces of many requests are batched into calls, under loads that went wrong before.

mod batches;
mod common;
mod loads;
mod pace;
mod urgency;
