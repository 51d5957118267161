use {
    crate::{
        data::{EntryCore, RequestDraft},
        filters::{FilterResult, RequestFilter, filter_chain::refused},
        shared::ControlMessage,
    },
    base::FailureReason,
    futures_util::future::LocalBoxFuture,
    std::rc::Rc,
};

/// Refuses requests of callers that have seen a later sheet than the one in force here: under the
/// older sheet they would see a rollback.
pub struct SheetFilter;

impl RequestFilter for SheetFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult> {
        Box::pin(async move {
            let Some(seen) = draft.seen_sheet(&core) else {
                return Ok(draft);
            };
            if seen.version <= draft.sheet.version() {
                return Ok(draft);
            }
            if seen.is_proved {
                core.notify_control(ControlMessage::SeenVersion(seen.version));
            }
            let detail = format!("caller has seen sheet version {}", seen.version);
            refused(draft.refuse(FailureReason::SheetBehind, detail))
        })
    }
}
