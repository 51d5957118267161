use crate::{
    caller::RelayDraft,
    filters::{FilterResult, RequestFilter},
    run::held_refusal,
    shared::RelayCore,
};

/// Refuses requests under which targets crashed, and those with a part under which targets crashed.
pub struct CrashFilter;

impl RequestFilter for CrashFilter {
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult {
        match held_refusal(core, &draft) {
            Some(refusal) => Err(refusal),
            None => Ok(draft),
        }
    }
}
