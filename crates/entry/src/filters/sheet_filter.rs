use {
    crate::{
        data::{EntryCore, RequestDraft},
        filters::{FilterStep, RequestFilter, filter_chain::refused},
        shared::ControlMessage,
    },
    base::FailureReason,
    futures_util::future::LocalBoxFuture,
    std::rc::Rc,
};

/// Refuses who has seen a later sheet than the one in force here: running the request under
/// the older one would take the later one back.
pub struct SheetFilter;

impl RequestFilter for SheetFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterStep> {
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
