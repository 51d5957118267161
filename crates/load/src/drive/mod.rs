//! Network I/O and timing of the load tool.

mod arrival_clock;
mod bench_driver;
mod cpu_time;
mod entry_client;
mod load_driver;
mod record_reader;
mod request_driver;

pub use {
    bench_driver::{BenchDriver, CallRoute},
    entry_client::EntryClient,
    load_driver::LoadDriver,
    record_reader::RecordReader,
};
