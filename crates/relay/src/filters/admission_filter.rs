use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        filters::{FilterResult, RequestFilter},
        shared::RelayCore,
        stage::{PoolWait, pool_wait},
    },
    base::FailureReason,
    std::time::{Duration, Instant},
};

/// Least time after which coming back is worth it.
const LEAST_DELAY: Duration = Duration::from_millis(50);

/// Part of its time within which a request that will miss its aim must be expected to be done.
const LATE_SHARE: f64 = 0.85;

/// Refuses what cannot be answered in time, given the stages to come and what waits for them.
pub struct AdmissionFilter;

impl RequestFilter for AdmissionFilter {
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult {
        let now = Instant::now();
        let pools = core.pools.borrow();
        let model = pools.get(&draft.service);
        let Some(last) = model.and_then(|pool| pool.min_answer_time(&draft.prefixes, now)) else {
            let detail = format!("no target of {} can be used", draft.service);
            return Err(RelayRefusal::not_run(FailureReason::NoTarget, detail)
                .retry_after(Duration::from_millis(500)));
        };
        let timely = stage_time(core, &draft, now, |wait| wait.timely) + last;
        if now + timely <= draft.latency_goal_at {
            return Ok(draft);
        }
        let expected = stage_time(core, &draft, now, |wait| wait.queue_end) + last;
        let left = draft.first_event_time_left(now);
        if expected <= left.mul_f64(LATE_SHARE) {
            return Ok(draft);
        }
        let detail = format!("expected to take {expected:?} of {left:?}");
        let delay = expected.saturating_sub(left).max(LEAST_DELAY);
        let refusal = RelayRefusal::not_run(FailureReason::Overloaded, detail);
        Err(refusal.retry_after(delay))
    }
}

/// Time until the slowest path through the stages would be done.
fn stage_time(
    core: &RelayCore,
    draft: &RelayDraft,
    now: Instant,
    wait: impl Fn(PoolWait) -> Duration,
) -> Duration {
    let mut ends: Vec<Duration> = Vec::new();
    for (stage, rule) in draft.rule.stages.iter().enumerate() {
        let begin = rule
            .after
            .iter()
            .filter_map(|before| ends.get(usize::from(*before)));
        let begin = begin.max().copied().unwrap_or_default();
        let pieces = draft.head.piece_counts.get(stage).copied().unwrap_or(0);
        let spec = draft.plan.services.get(&rule.service);
        let time = match spec.and_then(|spec| spec.pieces).filter(|_| pieces > 0) {
            Some(spec) => {
                wait(pool_wait(core, &rule.service, now)) + spec.call_time + spec.item_time
            }
            None => Duration::ZERO,
        };
        ends.push(begin + time);
    }
    ends.into_iter().max().unwrap_or_default()
}
