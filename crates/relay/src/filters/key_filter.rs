use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        filters::{FilterResult, RequestFilter},
        shared::RelayCore,
    },
    base::FailureReason,
    std::time::Duration,
};

/// When to come back to an entry that cannot tell whether keys still hold.
const EVIDENCE_DELAY: Duration = Duration::from_millis(500);

/// Finds the organisation of a request by its key.
pub struct KeyFilter;

impl RequestFilter for KeyFilter {
    fn apply(&self, core: &RelayCore, mut draft: RelayDraft) -> FilterResult {
        if draft.rule.anonymous || draft.plan.keys.is_empty() {
            return Ok(draft);
        }
        if !core.may_use_keys() {
            return Err(stale_keys_refusal());
        }
        let key = draft.head.api_key.as_deref().unwrap_or_default();
        let Some(owner) = draft.plan.keys.owner(key) else {
            let detail = format!("key unknown in configuration {}", draft.plan.version);
            return Err(match core.may_reject_unknown() {
                true => RelayRefusal::not_run(FailureReason::BadCredential, detail),
                false => stale_keys_refusal(),
            });
        };
        draft.organisation = Some(owner.organisation.clone());
        draft.priority = owner.priority.unwrap_or(draft.priority);
        Ok(draft)
    }
}

/// Refusal of a request whose key may have been taken away.
pub fn stale_keys_refusal() -> RelayRefusal {
    let detail = "the store was not reached for too long to know the keys in force";
    RelayRefusal::not_run(FailureReason::SheetBehind, detail).retry_after(EVIDENCE_DELAY)
}
