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

/// Minimum time after which a refused caller should retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum time after which a caller should retry if no target can be used.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(500);
/// A request that will miss its latency goal is admitted only if its first event is expected within
/// this share of the time that is left until the event is due.
const MAX_LATE_SHARE: f64 = 0.85;

/// Refuses requests that cannot be answered in time, given the expected times of their stages and
/// the work that is queued there. Work that can still meet its latency goal is queued before work
/// that cannot, so the expected time is calculated for both cases.
pub struct AdmissionFilter;

impl RequestFilter for AdmissionFilter {
    fn apply(&self, core: &RelayCore, draft: RelayDraft) -> FilterResult {
        let now = Instant::now();
        if !draft.is_hop && core.link.borrow().is_lost() {
            // The entry that the request is handed over to decides.
            return Ok(draft);
        }
        let pools = core.pools.borrow();
        let pool = pools.get(&draft.service);
        let Some(answer_time) = pool.and_then(|pool| pool.min_answer_time(&draft.prefixes, now))
        else {
            let detail = format!("service {} has no usable target", draft.service);
            let delay = pool.and_then(|pool| pool.time_to_usable(now));
            return Err(RelayRefusal::not_run(FailureReason::NoTarget, detail)
                .retry_after(delay.unwrap_or_default().max(NO_TARGET_RETRY_DELAY)));
        };
        let expected_timely = stages_time(core, &draft, now, |wait| wait.timely) + answer_time;
        if now + expected_timely <= draft.goal_at {
            return Ok(draft);
        }
        let expected_late = stages_time(core, &draft, now, |wait| wait.queue_end) + answer_time;
        let time_left = draft.first_event_time_left(now);
        if expected_late <= time_left.mul_f64(MAX_LATE_SHARE) {
            return Ok(draft);
        }
        let detail = format!("expected to take {expected_late:?}, with {time_left:?} left");
        let shortfall = expected_late.saturating_sub(time_left).max(MIN_RETRY_DELAY);
        let customer = draft.organisation.as_deref().unwrap_or_default();
        let delay = core.return_line.borrow_mut().take_slot(
            customer,
            shortfall,
            return_spacing(core, &draft, now),
            now,
        );
        let refusal = RelayRefusal::not_run(FailureReason::Overloaded, detail);
        Err(refusal.retry_after(delay))
    }
}

/// Returns the time in which there is room for one more request of this kind at this entry: the time
/// that the slowest of its pools needs for the request's pieces, for each live entry.
fn return_spacing(core: &RelayCore, draft: &RelayDraft, now: Instant) -> Duration {
    let stages = draft.rule.stages.iter().zip(&draft.head.piece_counts);
    let times = stages.map(|(rule, piece_count)| {
        let spec = draft.plan.services.get(&rule.service);
        let spec = spec.and_then(|spec| spec.pieces);
        let piece_time = spec.map_or(Duration::ZERO, |spec| {
            let batch = u32::try_from(spec.batch).unwrap_or(1).max(1);
            spec.call_time / batch + spec.item_time
        });
        let target_count = core.batch_service.target_count(&rule.service);
        piece_time * u32::from(*piece_count) / target_count.max(1)
    });
    let entry_count = u32::try_from(core.live_entry_count(now)).unwrap_or(1);
    times.max().unwrap_or_default() * entry_count
}

/// Returns the time until all stages of a new request are expected to be done, behind all work that
/// waits.
pub fn expected_stages_time(core: &RelayCore, draft: &RelayDraft, now: Instant) -> Duration {
    stages_time(core, draft, now, |wait| wait.queue_end)
}

/// Returns the time until all stages are expected to be done, that is the time of the slowest path
/// through them. `select_wait` selects which of the waits at a pool counts.
fn stages_time(
    core: &RelayCore,
    draft: &RelayDraft,
    now: Instant,
    select_wait: impl Fn(PoolWait) -> Duration,
) -> Duration {
    let urgency = draft.urgency(&core.urgencies.borrow());
    let mut stage_ends: Vec<Duration> = Vec::new();
    for (stage, rule) in draft.rule.stages.iter().enumerate() {
        let input_ends = rule
            .after
            .iter()
            .filter_map(|input_stage| stage_ends.get(usize::from(*input_stage)));
        let start = input_ends.max().copied().unwrap_or_default();
        let piece_count = draft.head.piece_counts.get(stage).copied().unwrap_or(0);
        let spec = draft.plan.services.get(&rule.service);
        let time = match spec
            .and_then(|spec| spec.pieces)
            .filter(|_| piece_count > 0)
        {
            Some(piece_spec) => {
                select_wait(pool_wait(core, &rule.service, urgency, now))
                    + piece_spec.call_time
                    + piece_spec.item_time
            }
            None => Duration::ZERO,
        };
        stage_ends.push(start + time);
    }
    stage_ends.into_iter().max().unwrap_or_default()
}
