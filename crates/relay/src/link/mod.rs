mod link_check;
mod link_watch;
mod target_check;

pub use {
    link_check::{CallRepeat, SilenceRule, await_answer, is_link_sound, record_call_fault},
    link_watch::watch_link,
    target_check::TargetChecks,
};
