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
    /// Time that the call took.
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
    taken_at: Instant,
    outcome: ReleaseOutcome,
    elapsed: Option<Duration>,
    load: Option<f64>,
    releases: Option<ReleaseQueue>,
}

impl CallSlot {
    pub fn new(pool: &str, releases: ReleaseQueue) -> Self {
        Self {
            pool: pool.to_string(),
            taken_at: Instant::now(),
            outcome: ReleaseOutcome::Ignored,
            elapsed: None,
            load: None,
            releases: Some(releases),
        }
    }

    /// Records how the call ended and the load that the target reported with its answer.
    pub fn record_end(&mut self, outcome: ReleaseOutcome, elapsed: Duration, load: Option<f64>) {
        self.outcome = outcome;
        self.elapsed = Some(elapsed);
        self.load = load;
    }

    /// Drops the slot without a release; the caller adjusts the limit itself.
    pub fn discard(mut self) {
        self.releases = None;
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let Some(releases) = self.releases.take() else {
            return;
        };
        releases.push(SlotRelease {
            pool: std::mem::take(&mut self.pool),
            outcome: self.outcome,
            elapsed: self.elapsed.unwrap_or_else(|| self.taken_at.elapsed()),
            load: self.load,
        });
    }
}
