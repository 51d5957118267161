use {
    crate::{
        dialect::{CallerHead, RelayRefusal},
        filters::find_key_owner,
        shared::RelayCore,
    },
    base::FailureReason,
    plan::{FleetPlan, RouteRule},
    std::{sync::Arc, time::Duration},
};

/// Time after which a caller should retry if this entry has no sufficiently recent configuration.
const NO_PLAN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Checks what the head of a request tells, so that no body of a request that would be refused takes
/// room. It is checked again once the body has arrived: the configuration may have changed by then.
///
/// # Errors
///
/// Refuses a request without a route, or without a key that the configuration in force has.
pub(super) fn check_head(core: &RelayCore, head: &CallerHead) -> Result<(), RelayRefusal> {
    let (plan, rule) = find_route(core, head)?;
    find_key_owner(core, &plan, &rule, head).map(|_| ())
}

/// Returns the configuration in force and the route of a request.
///
/// # Errors
///
/// Refuses the request if there is none.
pub(super) fn find_route(
    core: &RelayCore,
    head: &CallerHead,
) -> Result<(Arc<FleetPlan>, Arc<RouteRule>), RelayRefusal> {
    let Some(plan) = core.plan() else {
        let refusal = RelayRefusal::not_run(FailureReason::NoSheet, "no configuration yet");
        return Err(refusal.retry_after(NO_PLAN_RETRY_DELAY));
    };
    if let Some(rule) = plan.route(&head.host, head.path_without_query()) {
        let rule = Arc::clone(rule);
        return Ok((plan, rule));
    }
    let detail = format!(
        "configuration {} has no route for this host and path",
        plan.version
    );
    Err(match core.can_reject_unknown() {
        true => RelayRefusal::not_run(FailureReason::UnknownPipeline, detail),
        false => {
            RelayRefusal::not_run(FailureReason::NoSheet, detail).retry_after(NO_PLAN_RETRY_DELAY)
        }
    })
}
