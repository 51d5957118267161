use {
    crate::{caller::RelayDraft, shared::RelayCore},
    std::time::{Duration, Instant},
};

/// Returns the time that a request needs from its sending to the end of its answer, as far as it
/// matters to a shutdown: the expected time, or no time that is short enough for a stream that is late
/// in a shutdown and could go on until it is cut.
///
/// How long other streams took says nothing of this one: only its deadline bounds it. `now` is the
/// time at which the whole request has arrived.
pub fn needed_time(core: &RelayCore, draft: &RelayDraft, now: Instant) -> Duration {
    let times = core.exit.times();
    let may_be_cut = times.is_some_and(|times| times.may_cut(draft.deadline, now));
    if draft.rule.streaming && may_be_cut {
        return Duration::MAX;
    }
    let run_times = core.run_times.borrow();
    run_times.expected(&draft.rule.name).unwrap_or_default()
}
