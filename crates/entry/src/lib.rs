//! The entry daemon, which accepts requests of callers and runs their stages on targets.
//!
//! The data path handles requests on one thread and owns its state, so that it needs no locks. The
//! controllers run on a second thread: they track the sheet, peers and targets, and publish
//! immutable snapshots of the fleet to the data path.

mod control;
mod data;
mod entry_settings;
mod filters;
mod shared;

pub use {data::run_entry, entry_settings::EntrySettings};
