use {
    crate::data::{EntryCore, pool_scheduler::CallResult},
    base::{PoolId, StageIndex, TargetId},
    retry::{CrashFingerprint, TrackedCall, TrackedCallEnd},
    route::CallOutcome,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Guard of a running call; dropping it records the call as cancelled.
pub struct CallGuard {
    core: Rc<EntryCore>,
    pool: PoolId,
    target: TargetId,
    fingerprint: CrashFingerprint,
    stage: StageIndex,
    started_at: Instant,
    is_armed: bool,
}

impl CallGuard {
    /// Records the start of a call that the crash tracker has allowed and that is about to be sent.
    pub fn start(core: &Rc<EntryCore>, pool: impl Into<PoolId>, call: TrackedCall<'_>) -> Self {
        let started_at = Instant::now();
        let pool = pool.into();
        core.pools
            .borrow_mut()
            .record_call_start(&pool, call.target, started_at);
        Self {
            core: Rc::clone(core),
            pool,
            target: call.target.to_string(),
            fingerprint: call.fingerprint,
            stage: call.stage,
            started_at,
            is_armed: true,
        }
    }

    /// Returns the time since the call was sent.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Records how the call ended; the elapsed time of an engine call must be scaled to the
    /// nominal token count, so that times are comparable within the pool.
    pub fn finish(mut self, result: CallResult, end: TrackedCallEnd) {
        self.record_end(result, end);
    }

    fn record_end(&mut self, result: CallResult, end: TrackedCallEnd) {
        self.is_armed = false;
        let now = Instant::now();
        self.core
            .pools
            .borrow_mut()
            .record_call_end(&self.pool, &self.target, result, now);
        let mut crash_tracker = self.core.crash_tracker.borrow_mut();
        let call = TrackedCall {
            fingerprint: self.fingerprint,
            stage: self.stage,
            target: &self.target,
        };
        crash_tracker.finish_call(call, end, now);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let elapsed = self.elapsed();
            let outcome = CallOutcome::Cancelled;
            self.record_end(
                CallResult {
                    elapsed,
                    outcome,
                    load: None,
                },
                TrackedCallEnd::Other,
            );
        }
    }
}
