use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        filters::{FilterResult, RequestFilter},
        shared::RelayCore,
    },
    base::FailureReason,
    retry::CrashVerdict,
    std::time::Instant,
};

/// Refuses requests that have crashed too many targets.
pub struct CrashFilter;

impl RequestFilter for CrashFilter {
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult {
        let crashes = core.crashes.borrow();
        if crashes.is_empty() {
            return Ok(draft);
        }
        match crashes.verdict(&draft.fingerprint(), Instant::now()) {
            CrashVerdict::Refused => {
                let detail = "targets died while they ran this request";
                Err(RelayRefusal::not_run(FailureReason::CrashSuspect, detail))
            }
            CrashVerdict::Clear | CrashVerdict::Suspect => Ok(draft),
        }
    }
}
