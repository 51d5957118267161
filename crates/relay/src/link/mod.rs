mod link_check;
mod link_watch;

pub use {
    link_check::{await_answer, is_link_sound, record_call_fault},
    link_watch::watch_link,
};
