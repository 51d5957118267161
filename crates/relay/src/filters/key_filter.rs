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

/// Time after which a caller should retry if this entry cannot tell whether keys are still valid.
const STALE_KEYS_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Sets the organisation and priority of a request by its key. Refuses requests whose key is
/// unknown or may have been revoked. Anonymous routes need no key, nor does a configuration without
/// keys.
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
            let detail = format!(
                "configuration {} does not have this key",
                draft.plan.version
            );
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

/// Returns the refusal of a request because its key may have been revoked without this entry
/// knowing of it yet.
pub fn stale_keys_refusal() -> RelayRefusal {
    let detail = "the store has been unreachable for too long to know the keys in force";
    RelayRefusal::not_run(FailureReason::SheetBehind, detail).retry_after(STALE_KEYS_RETRY_DELAY)
}
