use {
    crate::{
        data::{EntryCore, RequestDraft},
        filters::{FilterStep, RequestFilter, filter_chain::refused},
    },
    base::FailureReason,
    futures_util::future::LocalBoxFuture,
    retry::CrashVerdict,
    std::{rc::Rc, time::Instant},
};

/// Refuses requests that have crashed as many targets as any may.
pub struct CrashFilter;

impl RequestFilter for CrashFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterStep> {
        Box::pin(async move {
            core.refresh();
            let crashes = core.crashes.borrow();
            let verdict = crashes.verdict(&draft.fingerprint(), Instant::now());
            drop(crashes);
            if verdict != CrashVerdict::Refused {
                return Ok(draft);
            }
            let detail = "targets died while they ran this request";
            refused(draft.refuse(FailureReason::CrashSuspect, detail))
        })
    }
}
