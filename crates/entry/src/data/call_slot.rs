use {
    base::{FailureReason, PoolId},
    limit::ReleaseOutcome,
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Reason why a call got no slot; no part of it was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRefusal {
    pub reason: FailureReason,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}

impl SlotRefusal {
    pub fn new(reason: FailureReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}

/// A slot that a call has released.
#[derive(Debug, Clone)]
pub struct SlotRelease {
    pub pool: PoolId,
    pub outcome: ReleaseOutcome,
    /// Time that the call took, scaled as in `CallResult`. If the call recorded no end, the time
    /// for which it held the slot.
    pub elapsed: Duration,
    /// Load that the target reported, as a share of its capacity.
    pub load: Option<f64>,
}

/// Queue of released slots that the scheduler has not processed yet.
#[derive(Clone, Default)]
pub struct ReleaseQueue {
    releases: Rc<RefCell<Vec<SlotRelease>>>,
    notify: Rc<Notify>,
}

impl ReleaseQueue {
    /// Removes and returns all released slots.
    pub fn take_all(&self) -> Vec<SlotRelease> {
        std::mem::take(&mut self.releases.borrow_mut())
    }

    /// Waits until a slot is released.
    pub async fn wait(&self) {
        self.notify.notified().await;
    }

    fn push(&self, release: SlotRelease) {
        self.releases.borrow_mut().push(release);
        self.notify.notify_one();
    }
}

/// Concurrency slot that allows one call to a pool; dropping it releases the slot.
pub struct CallSlot {
    pool: PoolId,
    acquired_at: Instant,
    outcome: ReleaseOutcome,
    elapsed: Option<Duration>,
    load: Option<f64>,
    release_queue: Option<ReleaseQueue>,
}

impl CallSlot {
    pub fn new(pool: &str, release_queue: ReleaseQueue) -> Self {
        Self {
            pool: pool.to_string(),
            acquired_at: Instant::now(),
            outcome: ReleaseOutcome::Ignored,
            elapsed: None,
            load: None,
            release_queue: Some(release_queue),
        }
    }

    /// Records how the call ended and the load that the target reported with its answer.
    pub fn record_end(&mut self, outcome: ReleaseOutcome, elapsed: Duration, load: Option<f64>) {
        self.outcome = outcome;
        self.elapsed = Some(elapsed);
        self.load = load;
    }

    /// Drops the slot without a release; the code that discards it adjusts the concurrency
    /// limit.
    pub fn discard(mut self) {
        self.release_queue = None;
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let Some(release_queue) = self.release_queue.take() else {
            return;
        };
        release_queue.push(SlotRelease {
            pool: std::mem::take(&mut self.pool),
            outcome: self.outcome,
            elapsed: self.elapsed.unwrap_or_else(|| self.acquired_at.elapsed()),
            load: self.load,
        });
    }
}
