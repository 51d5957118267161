use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        drain::needed_time,
        filters::{FilterResult, RequestFilter, expected_stages_time},
        shared::RelayCore,
    },
    base::FailureReason,
    std::time::{Duration, Instant},
};

/// Refuses requests that are not expected to end before this process exits. Other entries take them
/// at once.
pub struct ExitFilter;

impl RequestFilter for ExitFilter {
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult {
        let Some(times) = core.exit.times() else {
            return Ok(draft);
        };
        let now = Instant::now();
        let stages_time = expected_stages_time(core, &draft, now);
        let expected = stages_time.saturating_add(needed_time(core, &draft, now));
        let time_left = times.answer_by.saturating_duration_since(now);
        if expected < time_left {
            return Ok(draft);
        }
        let detail = format!("this entry exits in {time_left:?}, the request takes {expected:?}");
        let refusal = RelayRefusal::not_run(FailureReason::Leaving, detail);
        Err(refusal.retry_after(Duration::ZERO))
    }
}
