//! The data path of an entry: filters callers' requests, runs their stages, sends them to targets,
//! and passes the targets' answers on byte for byte.
//!
//! This crate does the I/O with callers, targets, other entries and the platform's store. Dialects
//! define the formats of the messages and decide nothing; decisions are made here and in the crates
//! without I/O.

mod caller;
mod client_rooms;
mod descriptor_shares;
mod dialect;
mod drain;
mod filters;
mod hop;
mod ledger;
mod link;
mod memory;
mod origin;
mod peer;
mod permit;
mod place;
mod relay_settings;
mod run;
mod settings_time;
mod shared;
mod stage;
mod start_relay;
mod state;
mod target;
mod tasks;

pub use {
    caller::{AnswerBody, AnswerSender, BodyCut, CallerLeft},
    dialect::{
        AddressQuery, CallerDialect, CallerHead, HeadFault, HeaderList, HopRequest, RelayRefusal,
        ReplyHead, ReplyOutcome, ReplyOwner, StoreChanges, StoreDialect, StoreItem, StorePage,
        TargetDialect, TargetRequest, WireCall, WireFault, header_value,
    },
    memory::CallBody,
    origin::OriginFrame,
    permit::{PermitAnswer, PermitFrame, PermitSubject},
    place::{PlaceFrame, PlaceQuestion},
    relay_settings::{BoundSettings, ListenSettings, LogSettings, PeerSettings, RelaySettings},
    shared::DialectSet,
    stage::{JobFrame, PeerGone, PeerInbox, PeerMessage, PeerOutbox, write_frames},
    start_relay::run_relay,
    state::{
        AnswerOrigin, ChangeLog, FeedFrame, FeedLag, LagAdvice, PeerPosition, StateView,
        StoreReplica, StoreRequest,
    },
    target::{EventSplitter, is_hop_header, keep_alive_timeout},
    tasks::{PanicCaught, TaskLabel, TaskSupervisor, catch_panic},
};
