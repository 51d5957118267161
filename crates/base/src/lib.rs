//! Types that every other crate uses: ids, run verdicts, priorities, the events of a streamed
//! answer and the HTTP header names.

mod answer_digest;
mod call_identity;
mod failure_report;
mod header_names;
mod host_list;
mod ids;
mod request_priority;
mod run_claim;
mod run_verdict;
mod stable_hash;
mod stream_event;

pub use {
    answer_digest::AnswerDigest,
    call_identity::CallIdentity,
    failure_report::{EntryAddress, FailureReason, FailureReport},
    header_names::*,
    host_list::{HostList, HostRow, HostState, ListedTarget},
    ids::*,
    request_priority::RequestPriority,
    run_claim::{RunClaim, Sent, Unsent},
    run_verdict::RunVerdict,
    stable_hash::{StableHash, mix_bits},
    stream_event::StreamEvent,
};
