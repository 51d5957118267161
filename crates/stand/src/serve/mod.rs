mod batch_slots;
mod call_ledger;
mod connection_set;
mod engine;
mod engine_orders;
mod engine_stream;
mod plain;
mod platform;
mod platform_store;
mod prefix_cache;
mod proxy;
mod proxy_tcp;
mod proxy_udp;
mod stand_server;
mod target_call;
mod target_core;

pub use {
    engine::{EngineArgs, run_engine},
    plain::{PlainArgs, run_plain},
    platform::{PlatformArgs, run_platform},
    proxy::{ProxyArgs, run_proxy},
};
