use {
    crate::{
        data::{EntryCore, RequestDraft, SlotQuery},
        filters::{FilterResult, RequestFilter, filter_chain::refused},
    },
    base::StageIndex,
    futures_util::future::LocalBoxFuture,
    limit::{Admission, AdmissionGate, AdmissionQuery},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Refuses requests that can't finish by their deadline, given the expected times of their stages
/// and the queues of their pools.
pub struct AdmissionFilter;

impl RequestFilter for AdmissionFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult> {
        Box::pin(async move { admit(&core, draft) })
    }
}

fn admit(core: &EntryCore, mut draft: RequestDraft) -> FilterResult {
    let now = Instant::now();
    let gate = AdmissionGate::default();
    core.refresh();
    let expected_times = expected_times(core, &draft, now);
    let waits = expected_times
        .iter()
        .zip(&draft.plan.stages)
        .map(|(expected_time, stage)| {
            let query = SlotQuery {
                pool: &stage.pool,
                customer: &draft.head.customer,
                weight: draft.weight,
                priority: draft.head.priority,
                deadline: draft.deadline,
                expected_time: *expected_time,
            };
            core.pools.borrow().wait_estimate(&query)
        });
    let query = AdmissionQuery {
        stages: &expected_times,
        queue_wait: waits.sum(),
        remaining: draft.deadline.saturating_duration_since(now),
    };
    if let Admission::Refuse {
        reason,
        retry_after,
    } = gate.admit(query)
    {
        let detail = format!(
            "its stages are expected to take {:?}",
            expected_times.iter().sum::<Duration>()
        );
        return refused(draft.refuse(reason, detail).retry_after(retry_after));
    }
    for (stage, time) in draft.plan.stages.iter_mut().zip(expected_times) {
        stage.min_time = time.mul_f64(gate.stage_margin);
    }
    Ok(draft)
}

fn expected_times(core: &EntryCore, draft: &RequestDraft, now: Instant) -> Vec<Duration> {
    let stages = &draft.sheet.pipelines[&draft.pipeline].stage;
    let mut stats = core.stage_stats.borrow_mut();
    let times = stages.iter().enumerate().map(|(index, stage)| {
        let stage_index = StageIndex::try_from(index).unwrap_or(StageIndex::MAX);
        stats.expected(&draft.pipeline, stage_index, stage.expected, now)
    });
    times.collect()
}
