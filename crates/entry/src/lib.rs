//! The entry daemon: a filter chain for requests and a set of controllers for state.
//!
//! The data path runs on one thread and owns its state without locks; the controllers run on a
//! second one and hand over what they know as immutable snapshots.

mod control;
mod data;
mod entry_settings;
mod filters;
mod shared;

pub use {data::run_entry, entry_settings::EntrySettings};
