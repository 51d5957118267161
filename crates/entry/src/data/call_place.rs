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

/// Why a call got no place; none of it was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceEnd {
    pub reason: FailureReason,
    pub retry_after: Duration,
}

impl PlaceEnd {
    pub fn new(reason: FailureReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}

/// A place that a call gave back.
#[derive(Debug, Clone)]
pub struct PlaceReturn {
    pub pool: PoolId,
    pub outcome: ReleaseOutcome,
    pub elapsed: Duration,
    pub load: Option<f64>,
}

/// Places that were given back and not yet handed out again.
#[derive(Clone, Default)]
pub struct ReturnBox {
    returns: Rc<RefCell<Vec<PlaceReturn>>>,
    filled: Rc<Notify>,
}

impl ReturnBox {
    /// Takes out all that was given back.
    pub fn take(&self) -> Vec<PlaceReturn> {
        std::mem::take(&mut self.returns.borrow_mut())
    }

    /// Waits until something is given back.
    pub async fn filled(&self) {
        self.filled.notified().await;
    }

    fn put(&self, back: PlaceReturn) {
        self.returns.borrow_mut().push(back);
        self.filled.notify_one();
    }
}

/// The right to make one call to a pool; dropping it gives the place back.
pub struct CallPlace {
    pool: PoolId,
    taken: Instant,
    outcome: ReleaseOutcome,
    elapsed: Option<Duration>,
    load: Option<f64>,
    returns: Option<ReturnBox>,
}

impl CallPlace {
    pub fn new(pool: &str, returns: ReturnBox) -> Self {
        Self {
            pool: pool.to_string(),
            taken: Instant::now(),
            outcome: ReleaseOutcome::Ignored,
            elapsed: None,
            load: None,
            returns: Some(returns),
        }
    }

    /// Notes how the call ended, and the load that the target reported with it.
    pub fn note(&mut self, outcome: ReleaseOutcome, elapsed: Duration, load: Option<f64>) {
        self.outcome = outcome;
        self.elapsed = Some(elapsed);
        self.load = load;
    }

    /// Drops the place without giving it back.
    pub fn forget(mut self) {
        self.returns = None;
    }
}

impl Drop for CallPlace {
    fn drop(&mut self) {
        let Some(returns) = self.returns.take() else {
            return;
        };
        returns.put(PlaceReturn {
            pool: std::mem::take(&mut self.pool),
            outcome: self.outcome,
            elapsed: self.elapsed.unwrap_or_else(|| self.taken.elapsed()),
            load: self.load,
        });
    }
}
