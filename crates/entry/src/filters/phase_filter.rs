use {
    crate::{
        data::{EntryCore, RequestDraft, entry_addresses},
        filters::{FilterResult, RequestFilter, filter_chain::refused},
        shared::EntryPhase,
    },
    base::FailureReason,
    futures_util::future::LocalBoxFuture,
    std::rc::Rc,
};

/// Refuses new requests from the refusing phase on. By then the address lists that name this entry
/// have expired at the callers.
pub struct PhaseFilter;

impl RequestFilter for PhaseFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult> {
        Box::pin(async move {
            let fleet = core.fleet();
            if fleet.phase < EntryPhase::Refusing {
                return Ok(draft);
            }
            let addresses = entry_addresses(&core, &fleet, &draft.head.customer);
            let report = draft.refuse(FailureReason::Leaving, "this entry is shutting down");
            refused(report.with_addresses(addresses))
        })
    }
}
