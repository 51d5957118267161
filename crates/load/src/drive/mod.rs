//! The part of the tool that has sockets.

mod entry_client;
mod load_driver;
mod record_reader;
mod request_driver;

pub use {entry_client::EntryClient, load_driver::LoadDriver, record_reader::RecordReader};
