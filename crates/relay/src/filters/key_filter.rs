use {
    crate::{
        caller::RelayDraft,
        dialect::{CallerHead, RelayRefusal},
        filters::{FilterResult, RequestFilter},
        shared::RelayCore,
    },
    base::FailureReason,
    plan::{FleetPlan, KeyOwner, RouteRule},
    std::time::Duration,
};

/// Time after which a caller should retry if this entry cannot tell whether keys are still valid.
const STALE_KEYS_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Sets the organisation and priority of a request by its key in the configuration in force (the
/// `FleetPlan` in `draft.plan`). Refuses requests whose key is unknown or may have been revoked. No
/// key is needed on anonymous routes, or if the configuration lists no organisations.
pub struct KeyFilter;

impl RequestFilter for KeyFilter {
    fn apply(&self, core: &RelayCore, mut draft: RelayDraft) -> FilterResult {
        let owner = find_key_owner(core, &draft.plan, &draft.rule, &draft.head)?;
        let Some(owner) = owner.cloned() else {
            return Ok(draft);
        };
        draft.organisation = Some(owner.organisation);
        draft.priority = owner.priority.unwrap_or(draft.priority);
        Ok(draft)
    }
}

/// Returns the owner of a request's key; `None` if it needs none.
///
/// # Errors
///
/// Refuses the request if its key is unknown or may have been revoked.
pub fn find_key_owner<'a>(
    core: &RelayCore,
    plan: &'a FleetPlan,
    rule: &RouteRule,
    head: &CallerHead,
) -> Result<Option<&'a KeyOwner>, RelayRefusal> {
    if rule.anonymous || !plan.keys.needs_key() {
        return Ok(None);
    }
    if !core.keys_are_fresh() {
        return Err(stale_keys_refusal());
    }
    let key = head.api_key.as_deref().unwrap_or_default();
    if let Some(owner) = plan.keys.owner(key) {
        return Ok(Some(owner));
    }
    let detail = format!("configuration {} does not have this key", plan.version);
    Err(match core.can_reject_unknown() {
        true => RelayRefusal::not_run(FailureReason::BadCredential, detail),
        false => stale_keys_refusal(),
    })
}

/// Returns the refusal of a request because the configuration in force may be out of date: its key
/// may have been revoked, or added, without this entry knowing of it yet.
pub fn stale_keys_refusal() -> RelayRefusal {
    let detail = "the store has been unreachable for too long to know the keys in force";
    RelayRefusal::not_run(FailureReason::SheetBehind, detail).retry_after(STALE_KEYS_RETRY_DELAY)
}
