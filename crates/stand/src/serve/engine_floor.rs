use {
    base::RequestPriority,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
    },
    tokio::sync::oneshot,
};

/// Place of a stream in the waiting queue: priority, then arrival.
type WaitKey = (RequestPriority, u64);

/// Slots of an engine's batch and the streams that wait for one.
pub struct EngineFloor {
    slots: usize,
    running: Cell<usize>,
    arrivals: Cell<u64>,
    waiting: RefCell<BTreeMap<WaitKey, oneshot::Sender<SlotGuard>>>,
}

impl EngineFloor {
    /// Floor with free slots only.
    pub fn new(slots: usize) -> Rc<Self> {
        Rc::new(Self {
            slots,
            running: Cell::new(0),
            arrivals: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Waits for a slot; `None` if the floor is gone.
    pub async fn enter(self: &Rc<Self>, priority: RequestPriority) -> Option<SlotGuard> {
        if self.running.get() < self.slots {
            self.running.set(self.running.get() + 1);
            return Some(SlotGuard(Rc::clone(self)));
        }
        let (sender, receiver) = oneshot::channel();
        self.arrivals.set(self.arrivals.get() + 1);
        let key = (priority, self.arrivals.get());
        self.waiting.borrow_mut().insert(key, sender);
        receiver.await.ok()
    }

    /// Streams that hold a slot.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Streams that hold a slot over slots.
    pub fn load(&self) -> f64 {
        self.running.get() as f64 / self.slots as f64
    }

    /// Hands a slot on to the first stream that still waits, or frees it.
    fn release(self: &Rc<Self>) {
        let first = self.waiting.borrow_mut().pop_first();
        match first {
            // A guard that can't be delivered is dropped and releases the slot again.
            Some((_, sender)) => drop(sender.send(SlotGuard(Rc::clone(self)))),
            None => self.running.set(self.running.get() - 1),
        }
    }
}

/// One slot of the batch; freed when dropped.
pub struct SlotGuard(Rc<EngineFloor>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release();
    }
}
