//! The data path of an entry that passes answers through byte for byte: callers, filters, stages,
//! targets, peers and the platform's store.
//!
//! How callers, targets and the store speak is left to dialects; everything that is decided is
//! decided here or in the crates without I/O.

mod caller;
mod dialect;
mod filters;
mod peer;
mod relay_settings;
mod run;
mod settings_time;
mod shared;
mod stage;
mod start_relay;
mod state;
mod target;

pub use {
    dialect::{
        CallerDialect, CallerHead, HeadFault, HeaderList, RelayRefusal, ReplyHead, ReplyOutcome,
        StoreChanges, StoreDialect, StoreItem, StorePage, TargetDialect, TargetRequest, WireCall,
        WireFault, header_value,
    },
    relay_settings::{BoundSettings, ListenSettings, LogSettings, PeerSettings, RelaySettings},
    shared::DialectSet,
    start_relay::run_relay,
    state::{PeerRevision, StateView, StoreReplica, StoreRequest},
    target::{EventSplitter, is_hop_header, keep_alive},
};
