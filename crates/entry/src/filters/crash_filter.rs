use {
    crate::{
        data::{EntryCore, RequestDraft},
        filters::{FilterResult, RequestFilter, filter_chain::refused},
    },
    base::FailureReason,
    futures_util::future::LocalBoxFuture,
    retry::CrashVerdict,
    std::{rc::Rc, time::Instant},
};

/// Refuses requests that have reached the strike limit, and after each strike refuses copies of the
/// request for a hold time, for instance while a peer retries it.
pub struct CrashFilter;

impl RequestFilter for CrashFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult> {
        Box::pin(async move {
            core.refresh();
            let (fingerprint, now) = (draft.fingerprint(), Instant::now());
            let crash_tracker = core.crash_tracker.borrow();
            let verdict = crash_tracker.verdict(&fingerprint, now);
            let hold = crash_tracker.remaining_hold(&fingerprint, now);
            drop(crash_tracker);
            if verdict == CrashVerdict::Refused {
                let detail = "targets died while they ran this request";
                return refused(draft.refuse(FailureReason::CrashSuspect, detail));
            }
            let Some(hold) = hold else {
                return Ok(draft);
            };
            let detail = "a target died while it ran this request; its first send is retried first";
            let report = draft.refuse(FailureReason::CrashSuspect, detail);
            refused(report.retry_after(hold))
        })
    }
}
