mod address_answer;
mod answer_room;
mod answer_sink;
mod call_guard;
mod call_reply;
mod call_slot;
mod caller_server;
mod entry_core;
mod failure_answer;
mod head_check;
mod join_registry;
mod line_buffer;
mod outbound_client;
mod peer_forward;
mod pool_scheduler;
mod request_draft;
mod request_head;
mod run_driver;
mod sheet_proof;
mod stage_call;
mod stage_stats;
mod stage_target;
mod start_entry;
mod target_call;
mod ticket_guard;

pub use {
    address_answer::{AddressAnswer, entry_addresses},
    answer_sink::AnswerSink,
    entry_core::EntryCore,
    failure_answer::recorded_reply,
    join_registry::JoinRegistry,
    peer_forward::forward_request,
    pool_scheduler::SlotQuery,
    request_draft::RequestDraft,
    request_head::RequestHead,
    start_entry::run_entry,
    ticket_guard::{RunningTicketGuard, UnsentTicketGuard},
};
