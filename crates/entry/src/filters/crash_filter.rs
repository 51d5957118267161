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

/// Refuses requests that have reached the strike limit, and for a while those that are held after
/// a strike, for instance because a peer retries them first.
pub struct CrashFilter;

impl RequestFilter for CrashFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult> {
        Box::pin(async move {
            core.refresh();
            let (fingerprint, now) = (draft.fingerprint(), Instant::now());
            let crashes = core.crashes.borrow();
            let verdict = crashes.verdict(&fingerprint, now);
            let hold = crashes.remaining_hold(&fingerprint, now);
            drop(crashes);
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
