//! Crowds of clients that break off, stop or do not read, at the entry daemon and the placer: the
//! programs must stay within a bounded memory and go on answering.
//!
//! The tests run one at a time, in a test binary of their own.

#[path = "../../../../platform/tests/crowds/crowd.rs"]
mod crowd;
#[path = "../../../../platform/tests/crowds/process_watch.rs"]
mod process_watch;

mod crowd_program;

mod entry;
mod placer;
