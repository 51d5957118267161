use {
    crate::{caller::RelayDraft, shared::RelayCore},
    std::time::Duration,
};

/// Returns the time that a request needs from its sending to the end of its answer, as far as it
/// matters to a shutdown: the expected time, or for a stream that arrives late in a shutdown, and so
/// could be cut, the longest one.
pub fn needed_time(core: &RelayCore, draft: &RelayDraft) -> Duration {
    let run_times = core.run_times.borrow();
    let name = &draft.rule.name;
    let is_late = |late_from| draft.arrived >= late_from;
    let times = core.exit.times();
    if draft.rule.streaming && times.is_some_and(|times| is_late(times.late_from)) {
        return run_times.longest(name).unwrap_or(Duration::MAX);
    }
    run_times.expected(name).unwrap_or_default()
}
