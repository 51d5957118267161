use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        filters::{FilterResult, RequestFilter},
        shared::RelayCore,
    },
    base::FailureReason,
    std::time::Instant,
};

/// Refuses requests for a service all of whose targets are limited, if as many requests as these
/// targets are on their way to them already.
///
/// It answers this load pattern: a service whose targets all name limits gets several times what
/// they take, in requests with stages. Each one that passes makes its pieces first, and most of them
/// in vain if it is only then turned away.
pub struct LimitFilter;

impl RequestFilter for LimitFilter {
    fn apply(&self, core: &RelayCore, mut draft: RelayDraft) -> FilterResult {
        let now = Instant::now();
        if !draft.is_hop && core.link.borrow().is_lost() {
            return Ok(draft);
        }
        let limits = core.service_limits(&draft.service, now);
        let Some(intervals) = limits.filter(|limits| !limits.is_empty()) else {
            return Ok(draft);
        };
        draft.limited_place = core.take_limited_place(&draft.service, intervals.len());
        if draft.limited_place.is_some() {
            return Ok(draft);
        }
        let detail = format!("all targets of service {} are limited", draft.service);
        let delay = intervals.into_iter().min().unwrap_or_default();
        Err(RelayRefusal::not_run(FailureReason::NoTarget, detail).retry_after(delay))
    }
}
