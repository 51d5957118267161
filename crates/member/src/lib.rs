//! Gossip membership: which entry hosts and targets may be used. Every daemon keeps this soft state
//! for itself. It comes from the platform's host list, which may lag, and from heartbeats between
//! the daemons, which carry rumours.

mod entry_row;
mod gossip_pace;
mod member_action;
mod member_event;
mod member_settings;
mod member_table;
mod member_view;
mod peer_record;
mod peer_registry;
mod probe_tracker;
mod pull_schedule;
mod rumour_buffer;
mod rumour_key;
mod source_mark;
mod strike_registry;
mod table_heartbeats;
mod table_lists;
mod table_messages;
mod table_probes;
mod table_queries;
mod table_rounds;
mod table_strikes;
mod table_updates;
mod target_marks;

pub use {
    entry_row::EntryRow,
    member_action::MemberAction,
    member_event::MemberEvent,
    member_settings::MemberSettings,
    member_table::MemberTable,
    member_view::MemberView,
    strike_registry::{Fingerprint, TargetStrike},
};
