use {
    crate::{
        BatchAction, CallId, GatherOrder, OrderId, PieceEnd, PieceWork, StageResult,
        batch_target::BatchTarget,
        open_order::{OpenCall, OpenOrder},
    },
    plan::{PieceSpec, TargetRow},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time for which freed results wait for others before the target is told.
const FREE_DELAY: Duration = Duration::from_millis(15);
/// Time after its start by which a call has fetched what its pieces are made from.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Part of a target's room that is used, since sizes are only roughly known.
const ROOM_SHARE: f64 = 0.95;
/// Times that one piece may be asked for again after a failure.
const PIECE_TRIES: u32 = 12;
/// Failures of a target, not for want of room, that one order survives.
const FAILED_TRIES: u32 = 3;

/// Gathers pieces of many requests into calls to the targets of one pool.
///
/// The entry that owns the pool alone sends calls, so that it knows how busy each target is and
/// how much room for results is left there. Pieces whose aim can still be met go first, oldest
/// aim first; pieces that can no longer be of use are given up at once.
///
/// It does no I/O: orders and ends of calls go in, steps come out.
#[derive(Debug)]
pub struct BatchScheduler {
    pub(super) spec: PieceSpec,
    pub(super) targets: BTreeMap<String, BatchTarget>,
    pub(super) orders: BTreeMap<OrderId, OpenOrder>,
    calls: BTreeMap<CallId, OpenCall>,
    steps: Vec<BatchAction>,
    freed: BTreeMap<String, Vec<String>>,
    free_at: Option<Instant>,
    shared: bool,
    next_number: u64,
}

impl BatchScheduler {
    /// Desk of a pool without targets.
    pub fn new(spec: PieceSpec) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            orders: BTreeMap::new(),
            calls: BTreeMap::new(),
            steps: Vec::new(),
            freed: BTreeMap::new(),
            free_at: None,
            shared: false,
            next_number: 0,
        }
    }

    /// What the pool's targets can do.
    pub fn spec(&self) -> PieceSpec {
        self.spec
    }

    /// Takes over the targets that may get calls, by their ids.
    pub fn set_targets<'a>(
        &mut self,
        rows: impl IntoIterator<Item = (&'a String, &'a TargetRow)>,
        spec: PieceSpec,
        now: Instant,
    ) {
        self.spec = spec;
        let mut before = std::mem::take(&mut self.targets);
        for (id, row) in rows {
            let target = before.remove(id);
            let target = target.unwrap_or_else(|| BatchTarget::new(&row.data_centre, now));
            self.targets.insert(id.clone(), target);
        }
    }

    /// Says whether another entry may still call the same targets. A call may then wait there, so
    /// that its inputs count as read only when it ends.
    pub fn set_shared(&mut self, shared: bool) {
        self.shared = shared;
    }

    /// Gives back orders that were not begun, since another entry gathers for the pool now.
    pub fn hand_over(&mut self, now: Instant) {
        let orders = self.orders.iter().filter(|(_, open)| !open.is_begun());
        let orders: Vec<OrderId> = orders.map(|(number, _)| *number).collect();
        for order in orders {
            self.end_order(order, PieceEnd::Moved, now);
        }
    }

    /// Takes an order.
    pub fn submit(&mut self, order: GatherOrder, now: Instant) -> OrderId {
        let number = self.number();
        let open = OpenOrder::new(order, now);
        self.orders.insert(number, open);
        number
    }

    /// Forgets an order that nobody waits for any more, and frees what was made for it.
    pub fn cancel(&mut self, order: OrderId, now: Instant) {
        if let Some(open) = self.orders.remove(&order) {
            let made: Vec<_> = open.made.into_iter().flatten().collect();
            self.free(made, now);
        }
    }

    /// Records that results are no longer needed.
    pub fn free(&mut self, results: impl IntoIterator<Item = StageResult>, now: Instant) {
        for result in results {
            if self.targets.contains_key(&result.maker) {
                let freed = self.freed.entry(result.maker).or_default();
                freed.push(result.name);
                self.free_at.get_or_insert(now + FREE_DELAY);
            }
        }
    }

    /// Records that a target was told that results are no longer needed.
    pub fn released(&mut self, target: &str, results: &[String]) {
        if let Some(maker) = self.targets.get_mut(target) {
            for result in results {
                maker.release(result);
            }
        }
    }

    /// Records how the pieces of a call ended, in the order in which they were sent.
    pub fn finish(&mut self, call: CallId, ends: Vec<PieceEnd>, now: Instant) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        let spent = now.saturating_duration_since(open.started);
        if let Some(target) = self.targets.get_mut(&open.target) {
            target.finish(open.bytes, spent, open.expected);
        }
        for ((order, piece, bytes), end) in open.pieces.into_iter().zip(ends) {
            self.finish_piece(&open.target, (order, piece, bytes), end, now);
        }
    }

    /// Records that a call failed as a whole; its pieces wait again.
    pub fn fail(&mut self, call: CallId, refused: bool, now: Instant) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&open.target) {
            target.fail(open.bytes, now);
        }
        for (order, piece, _) in open.pieces {
            let end = match refused {
                true => PieceEnd::NoRoom,
                false => PieceEnd::Failed,
            };
            self.put_back(order, piece, end);
        }
    }

    /// What is to be done now.
    pub fn steps(&mut self, now: Instant) -> Vec<BatchAction> {
        self.give_up_hopeless(now);
        while self.start_call(now) {}
        self.tell_read(now);
        if self.free_at.is_some_and(|at| at <= now) {
            self.flush_freed();
        }
        std::mem::take(&mut self.steps)
    }

    /// Time at which there may be something to do without anything else happening.
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let paused = self.targets.values().filter_map(BatchTarget::paused_until);
        let capped = self.targets.values().filter_map(BatchTarget::capped_until);
        let paused = paused.chain(capped).filter(|until| *until > now);
        let due = self.orders.values().map(|open| open.due_at);
        let any_waiting = self.orders.values().any(|open| !open.waiting.is_empty());
        let pauses = paused.filter(|_| any_waiting);
        let urgent = self.call_time(self.spec.batch) + self.call_time(1);
        let held = self
            .orders
            .values()
            .filter(|open| !open.waiting.is_empty() && open.order.data_centre.is_some());
        let held = held.filter_map(|open| open.aim_at.checked_sub(urgent));
        let held = held.filter(|at| *at > now);
        let unread = self.orders.values().filter(|open| !open.read_told);
        let reads = unread.filter_map(|open| open.read_at);
        pauses
            .chain(due)
            .chain(held)
            .chain(reads)
            .chain(self.free_at)
            .min()
    }

    /// Pieces that wait for a call.
    pub fn waiting(&self) -> usize {
        self.orders.values().map(|open| open.waiting.len()).sum()
    }

    /// Bytes that further results may take at a target.
    pub fn room(&mut self, target: &str, now: Instant) -> u64 {
        let spec = self.spec;
        let target = self.targets.get_mut(target);
        target.map_or(0, |target| target.room(&spec, now))
    }

    pub(super) fn call_time(&self, pieces: usize) -> Duration {
        let items = u32::try_from(pieces).unwrap_or(u32::MAX);
        self.spec.call_time + self.spec.item_time * items
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn tell_read(&mut self, now: Instant) {
        for (order, open) in &mut self.orders {
            let read = open.read_at.is_some_and(|at| at <= now);
            if read && !open.read_told {
                open.read_told = true;
                self.steps.push(BatchAction::InputsRead { order: *order });
            }
        }
    }

    pub(super) fn end_order(&mut self, order: OrderId, end: PieceEnd, now: Instant) {
        self.cancel(order, now);
        self.steps.push(BatchAction::Failed { order, end });
    }

    fn start_call(&mut self, now: Instant) -> bool {
        let spec = self.spec;
        let open = self.targets.iter_mut().filter_map(|(id, target)| {
            let room = (target.room(&spec, now) as f64 * ROOM_SHARE) as u64;
            target
                .is_open(&spec, now)
                .then(|| (id.clone(), room, target.slowness))
        });
        let mut open: Vec<_> = open.collect();
        open.sort_by(|a, b| a.2.total_cmp(&b.2).then(b.1.cmp(&a.1)));
        if self.waiting() == 0 {
            return false;
        }
        let staffed = self.staffed_centres(now);
        for (id, room, _) in open {
            let centre = &self.targets[&id].data_centre;
            let queue = self.queue(centre, &staffed, now);
            let pieces = self.fill(&queue, room);
            if !pieces.is_empty() {
                self.begin(id, pieces, now);
                return true;
            }
        }
        false
    }

    fn begin(&mut self, id: String, pieces: Vec<(OrderId, u16, u64)>, now: Instant) {
        let expected = self.call_time(pieces.len());
        let bytes = pieces.iter().map(|(_, _, bytes)| bytes).sum();
        if let Some(target) = self.targets.get_mut(&id) {
            target.start(bytes, expected, now);
        }
        let call = self.number();
        let work = pieces
            .iter()
            .map(|(order, piece, _)| self.take_work(*order, *piece, now));
        let work: Vec<_> = work.collect();
        for (order, piece, _) in &pieces {
            if let Some(open) = self.orders.get_mut(order) {
                open.waiting.retain(|waiting| waiting != piece);
                let alone = open.waiting.is_empty() && !self.shared;
                let read_at = alone.then_some(now + FETCH_TIME);
                open.read_at = read_at;
            }
        }
        let open = OpenCall {
            target: id.clone(),
            started: now,
            expected,
            bytes,
            pieces,
        };
        self.calls.insert(call, open);
        self.steps.push(BatchAction::Call {
            call,
            target: id,
            work,
        });
    }

    fn take_work(&self, order: OrderId, piece: u16, now: Instant) -> PieceWork {
        let open = &self.orders[&order];
        PieceWork {
            order,
            request: open.order.request.clone(),
            stage: open.order.stage,
            piece,
            time_left: open.due_at.saturating_duration_since(now),
            input: open.order.input.clone(),
        }
    }

    fn finish_piece(
        &mut self,
        target: &str,
        (order, piece, bytes): (OrderId, u16, u64),
        end: PieceEnd,
        now: Instant,
    ) {
        let until = now + self.spec.keep_time;
        match end {
            PieceEnd::Made(name) => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.hold(&name, bytes, until);
                }
                let maker = target.to_string();
                let result = StageResult { maker, name };
                self.take_result(order, piece, result, now);
            }
            PieceEnd::NoRoom => {
                if let Some(target) = self.targets.get_mut(target) {
                    target.cap_room(bytes, now);
                }
                self.put_back(order, piece, PieceEnd::NoRoom);
            }
            PieceEnd::Failed => self.put_back(order, piece, PieceEnd::Failed),
            PieceEnd::Late | PieceEnd::InputGone | PieceEnd::Moved => {
                if self.orders.contains_key(&order) {
                    self.end_order(order, end, now);
                }
            }
        }
    }

    fn take_result(&mut self, order: OrderId, piece: u16, result: StageResult, now: Instant) {
        let Some(open) = self.orders.get_mut(&order) else {
            self.free([result], now);
            return;
        };
        open.made[usize::from(piece)] = Some(result);
        if open.made.iter().any(Option::is_none) {
            return;
        }
        if let Some(open) = self.orders.remove(&order) {
            let results = open.made.into_iter().flatten().collect();
            self.steps.push(BatchAction::Made { order, results });
        }
    }

    fn put_back(&mut self, order: OrderId, piece: u16, end: PieceEnd) {
        let Some(open) = self.orders.get_mut(&order) else {
            return;
        };
        open.tries += 1;
        open.failed += u32::from(end == PieceEnd::Failed);
        let pieces = u32::from(open.order.pieces);
        if open.tries > PIECE_TRIES * pieces || open.failed > FAILED_TRIES * pieces {
            self.orders.remove(&order);
            self.steps.push(BatchAction::Failed { order, end });
            return;
        }
        open.waiting.push_front(piece);
        open.read_at = None;
    }

    fn flush_freed(&mut self) {
        self.free_at = None;
        for (target, results) in std::mem::take(&mut self.freed) {
            self.steps.push(BatchAction::Free { target, results });
        }
    }
}
