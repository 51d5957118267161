use {
    crate::data::{EntryCore, pool_desk::CallResult},
    base::{PoolId, StageIndex, TargetId},
    retry::{CrashFingerprint, TrackedCall, TrackedCallEnd},
    route::CallOutcome,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// A call that is on its way: dropping it accounts for it as cancelled.
pub struct CallGuard {
    core: Rc<EntryCore>,
    pool: PoolId,
    target: TargetId,
    fingerprint: CrashFingerprint,
    stage: StageIndex,
    started: Instant,
    open: bool,
}

impl CallGuard {
    /// Accounts for a call that the crash tracker has granted and that is about to leave.
    pub fn start(core: &Rc<EntryCore>, pool: impl Into<PoolId>, call: TrackedCall<'_>) -> Self {
        let started = Instant::now();
        let pool = pool.into();
        core.pools.borrow_mut().started(&pool, call.target, started);
        Self {
            core: Rc::clone(core),
            pool,
            target: call.target.to_string(),
            fingerprint: call.fingerprint,
            stage: call.stage,
            started,
            open: true,
        }
    }

    /// Time since the call left.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Accounts for how the call ended; `elapsed` is made comparable within the pool.
    pub fn finish(mut self, result: CallResult, end: TrackedCallEnd) {
        self.close(result, end);
    }

    fn close(&mut self, result: CallResult, end: TrackedCallEnd) {
        self.open = false;
        let now = Instant::now();
        self.core
            .pools
            .borrow_mut()
            .answered(&self.pool, &self.target, result, now);
        let mut crashes = self.core.crashes.borrow_mut();
        let call = TrackedCall {
            fingerprint: self.fingerprint,
            stage: self.stage,
            target: &self.target,
        };
        crashes.finish_call(call, end, now);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.open {
            let elapsed = self.elapsed();
            let outcome = CallOutcome::Cancelled;
            self.close(
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
