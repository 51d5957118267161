mod answer_body;
mod auxiliary_server;
mod caller_server;
mod head_check;
mod relay_draft;

pub use {
    answer_body::{AnswerBody, AnswerSender, BodyCut, CallerLeft},
    auxiliary_server::{answer_addresses, answer_operator, answer_ready},
    caller_server::{RequestSender, answer_caller, build_reply},
    relay_draft::RelayDraft,
};
