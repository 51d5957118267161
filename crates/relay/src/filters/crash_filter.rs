use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        filters::{FilterResult, RequestFilter},
        run::held_refusal,
        shared::RelayCore,
    },
    base::FailureReason,
    retry::CrashVerdict,
    std::time::Instant,
};

/// Refuses requests that have crashed too many targets, and those with a part under which targets
/// crashed.
pub struct CrashFilter;

impl RequestFilter for CrashFilter {
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult {
        if let Some(refusal) = held_refusal(core, &draft) {
            return Err(refusal);
        }
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
