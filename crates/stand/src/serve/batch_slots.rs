use {
    base::RequestPriority,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
    },
    tokio::sync::oneshot,
};

/// Position of a stream in the queue: priority, then number of arrival.
type QueueKey = (RequestPriority, u64);

/// Slots of an engine's batch and the streams that wait for one.
pub struct BatchSlots {
    slot_count: usize,
    running: Cell<usize>,
    /// Number of streams that have waited so far.
    arrivals: Cell<u64>,
    waiting: RefCell<BTreeMap<QueueKey, oneshot::Sender<SlotGuard>>>,
}

impl BatchSlots {
    /// Creates a batch whose slots are all free.
    pub fn new(slot_count: usize) -> Rc<Self> {
        Rc::new(Self {
            slot_count,
            running: Cell::new(0),
            arrivals: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Waits for a slot; streams of higher priority go first. Returns `None` if the batch is
    /// dropped meanwhile.
    pub async fn acquire(self: &Rc<Self>, priority: RequestPriority) -> Option<SlotGuard> {
        if self.running.get() < self.slot_count {
            self.running.set(self.running.get() + 1);
            return Some(SlotGuard(Rc::clone(self)));
        }
        let (sender, receiver) = oneshot::channel();
        self.arrivals.set(self.arrivals.get() + 1);
        let key = (priority, self.arrivals.get());
        self.waiting.borrow_mut().insert(key, sender);
        receiver.await.ok()
    }

    /// Returns the number of streams that hold a slot.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Returns the share of slots that are held.
    pub fn load(&self) -> f64 {
        self.running.get() as f64 / self.slot_count as f64
    }

    /// Hands a slot to the first stream that still waits, or frees it if none does.
    fn release(self: &Rc<Self>) {
        let first = self.waiting.borrow_mut().pop_first();
        match first {
            // If the stream has gone, its guard is dropped here and releases the slot again.
            Some((_, sender)) => drop(sender.send(SlotGuard(Rc::clone(self)))),
            None => self.running.set(self.running.get() - 1),
        }
    }
}

/// One slot of the batch; freed when dropped.
pub struct SlotGuard(Rc<BatchSlots>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release();
    }
}
