use {
    piece::{BatchScheduler, JobId, PieceOutcome, StageResult},
    plan::PieceSpec,
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Time after which the entry that gathered before has no calls left at the targets.
const OWNER_SETTLED: Duration = Duration::from_millis(1_500);

/// How an order ended.
pub type GatherEnd = Result<Vec<StageResult>, PieceOutcome>;
/// Called when the inputs of an order have been fetched.
pub type ReadHook = Rc<dyn Fn()>;

/// Who waits for an order.
pub struct OrderWaiter {
    pub end: oneshot::Sender<GatherEnd>,
    pub on_read: ReadHook,
}

/// Desk of one part of a pool, and who waits for its orders.
pub struct OpenDesk {
    /// Pool that the part belongs to.
    pub pool: String,
    pub desk: BatchScheduler,
    /// Since when this entry gathers for the part of the pool.
    owned: Option<Instant>,
    pub waiting: HashMap<JobId, OrderWaiter>,
}

impl OpenDesk {
    /// Desk without targets.
    pub fn new(pool: &str, spec: PieceSpec) -> Self {
        Self {
            pool: pool.to_string(),
            desk: BatchScheduler::new(spec),
            owned: None,
            waiting: HashMap::new(),
        }
    }

    /// Takes all targets away, since the pool no longer has this part, and gives orders back.
    pub fn close(&mut self, spec: PieceSpec, now: Instant) {
        self.desk.set_targets([], spec, now);
        self.desk.return_unstarted(now);
    }

    /// Tells who waits for an order how it ended.
    pub fn answer(&mut self, order: JobId, end: GatherEnd) {
        if let Some(waiter) = self.waiting.remove(&order) {
            // The one that asked may have left in the meantime.
            let _ = waiter.end.send(end);
        }
    }

    /// Takes over whether this entry gathers for the part of the pool, and gives orders that were
    /// not begun back when it no longer does.
    pub fn renew_owner(&mut self, is_owner: bool, now: Instant) {
        if !is_owner && self.owned.take().is_some() {
            self.desk.return_unstarted(now);
        }
        if is_owner {
            self.owned.get_or_insert(now);
        }
        let settled = self.owned.is_some_and(|since| now - since > OWNER_SETTLED);
        self.desk.set_shared(!settled);
    }
}
