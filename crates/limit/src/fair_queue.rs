use {
    crate::{
        PoppedCall, QueueRefusal, QueueSettings, QueuedCall, WaitingCall,
        customer_queue::CustomerQueue, max_wait::max_wait,
    },
    base::{CustomerId, FailureReason, RequestPriority},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Minimum weight of a customer and minimum capacity, to avoid division by zero.
const MIN_WEIGHT: f64 = 0.001;
/// Minimum cost of a call in target-seconds, so that no call is free.
const MIN_COST: f64 = 0.001;
/// Shortest retry delay that is given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A call in the queue.
#[derive(Debug, Clone)]
struct QueueEntry<T> {
    call: WaitingCall<T>,
    pushed_at: Instant,
    /// Latest time at which the call may start and still finish by its deadline with the start
    /// margin; it expires afterwards.
    latest_start: Instant,
}

/// Weighted fair queue over customers, with priorities.
///
/// Each customer with waiting calls gets service in proportion to its weight, regardless of the
/// load of the others; capacity that a customer leaves unused goes to the others. Urgent calls go
/// first among those of the same customer and, within a bound, among those of all customers.
///
/// ```
/// use std::time::{Duration, Instant};
/// use base::RequestPriority;
/// use limit::{FairQueue, QueueSettings, WaitingCall};
///
/// let now = Instant::now();
/// let mut queue = FairQueue::new(QueueSettings::default());
/// queue.set_capacity(2.0);
/// let call = |customer: &str, item| WaitingCall {
///     customer: customer.to_string(),
///     weight: 1,
///     priority: RequestPriority::Normal,
///     deadline: now + Duration::from_secs(3),
///     cost: 0.1,
///     item,
/// };
/// for (customer, item) in [("large", 1), ("large", 2), ("small", 3)] {
///     queue.push(call(customer, item), now).unwrap();
/// }
/// let wait = queue.wait_estimate("large", 1, RequestPriority::Normal, 0.1);
/// assert_eq!(wait.as_millis(), 150);
/// let order: Vec<i32> = std::iter::from_fn(|| queue.pop(now)).map(|next| next.call.item).collect();
/// assert_eq!(order, [1, 3, 2]);
///
/// queue.charge("large", 0.05);
/// let sequence = queue.push(call("small", 4), now).unwrap().sequence;
/// assert_eq!(queue.cancel(sequence), Some(4));
/// queue.push(call("small", 5), now).unwrap();
/// assert!(queue.next_expiry().is_some());
/// assert_eq!(queue.expire(now + Duration::from_secs(3)), [5]);
/// ```
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    /// Waiting calls by sequence number.
    waiting: BTreeMap<u64, QueueEntry<T>>,
    customer_queues: BTreeMap<CustomerId, CustomerQueue>,
    /// Latest start times and sequence numbers of the waiting calls.
    expiries: BTreeSet<(Instant, u64)>,
    /// Expired items that `expire` has not returned yet.
    expired: Vec<T>,
    /// Lowest start tag of the customers with waiting calls at the last `pop`, in target-seconds
    /// per weight.
    virtual_time: f64,
    next_sequence: u64,
    /// Target-seconds of work that the targets do per second.
    capacity: f64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            customer_queues: BTreeMap::new(),
            expiries: BTreeSet::new(),
            expired: Vec::new(),
            virtual_time: 0.0,
            next_sequence: 0,
            capacity: 1.0,
        }
    }

    /// Sets the target-seconds of work that the targets do per second, for the wait estimates.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(MIN_WEIGHT);
    }

    /// Adds the call to the queue. If the queue is full, evicts a call of the customer that is
    /// furthest above its share, or else a less urgent call of the same customer.
    ///
    /// # Errors
    ///
    /// Refuses a call that can't finish by its deadline, and a call to a full queue if no call may
    /// be evicted for it.
    pub fn push(
        &mut self,
        mut call: WaitingCall<T>,
        now: Instant,
    ) -> Result<QueuedCall<T>, QueueRefusal<T>> {
        call.cost = call.cost.max(MIN_COST);
        let Some(latest_start) = self.latest_start(&call, now) else {
            return Err(QueueRefusal {
                reason: FailureReason::DeadlineTooShort,
                retry_after: MIN_RETRY_AFTER,
                item: call.item,
            });
        };
        let mut evicted = Vec::new();
        if self.waiting.len() >= self.settings.places {
            match self.evict_for(&call) {
                Ok(item) => evicted.push(item),
                Err(reason) => {
                    return Err(QueueRefusal {
                        reason,
                        retry_after: self.drain_time().max(MIN_RETRY_AFTER),
                        item: call.item,
                    });
                }
            }
        }
        let sequence = self.insert(QueueEntry {
            call,
            pushed_at: now,
            latest_start,
        });
        Ok(QueuedCall { sequence, evicted })
    }

    /// Removes and returns the call to serve next. Skips calls that can no longer finish by their
    /// deadline; `expire` returns those.
    pub fn pop(&mut self, now: Instant) -> Option<PoppedCall<T>> {
        self.remove_expired(now);
        self.virtual_time = self.min_start_tag().unwrap_or(self.virtual_time);
        let (customer, priority, sequence) = self.next_call()?;
        let queue = self.customer_queues.get_mut(&customer)?;
        queue.record_overtake(priority);
        let next = self.waiting.get(&sequence)?;
        queue.start_tag += next.call.cost / queue.weight;
        let entry = self.remove(sequence)?;
        Some(PoppedCall {
            waited: now.saturating_duration_since(entry.pushed_at),
            call: entry.call,
        })
    }

    /// Removes and returns all calls that can no longer finish by their deadline; none of them was
    /// run.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.remove_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Returns the time after which the next call expires; `None` if no call waits.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(latest_start, _)| *latest_start)
    }

    /// Removes a call by its sequence number, for instance because its caller has left.
    pub fn cancel(&mut self, sequence: u64) -> Option<T> {
        self.remove(sequence).map(|entry| entry.call.item)
    }

    /// Charges a customer for the target-seconds that a popped call took in addition to its
    /// expected cost; negative if it took less.
    pub fn charge(&mut self, customer: &str, extra_cost: f64) {
        if let Some(queue) = self.customer_queues.get_mut(customer) {
            queue.start_tag += extra_cost / queue.weight;
        }
    }

    /// Estimates the time that a further call of the customer would wait; `cost` is the expected
    /// cost of that call in target-seconds.
    pub fn wait_estimate(
        &self,
        customer: &str,
        weight: u32,
        priority: RequestPriority,
        cost: f64,
    ) -> Duration {
        let weight = f64::from(weight).max(MIN_WEIGHT);
        let queue = self.customer_queues.get(customer);
        let own_cost = queue.map_or(0.0, |queue| queue.cost_ahead_of(priority));
        let others = self
            .customer_queues
            .iter()
            .filter(|(name, _)| *name != customer);
        // While the call and its customer's calls ahead are served, each other customer gets
        // service for its waiting calls, but no more than its weight allows.
        let other_cost: f64 = others
            .map(|(_, queue)| queue.cost().min((own_cost + cost) * queue.weight / weight))
            .sum();
        Duration::from_secs_f64((own_cost + other_cost).max(0.0) / self.capacity)
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the latest time at which the call may start; `None` if that is already too late.
    fn latest_start(&self, call: &WaitingCall<T>, now: Instant) -> Option<Instant> {
        let remaining = call.deadline.checked_duration_since(now)?;
        let service_time = Duration::try_from_secs_f64(call.cost).ok()?;
        let allowed_wait = max_wait(remaining, service_time, self.settings.start_margin)?;
        Some(now + allowed_wait)
    }

    fn insert(&mut self, entry: QueueEntry<T>) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let min_start_tag = self.min_start_tag().unwrap_or(self.virtual_time);
        let call = &entry.call;
        let queue = self
            .customer_queues
            .entry(call.customer.clone())
            .or_default();
        if queue.is_empty() {
            queue.start_tag = queue.start_tag.max(min_start_tag);
        }
        queue.weight = f64::from(call.weight).max(MIN_WEIGHT);
        queue.insert(call.priority, sequence, call.cost);
        self.expiries.insert((entry.latest_start, sequence));
        self.waiting.insert(sequence, entry);
        sequence
    }

    /// Removes a call from every index. If the queue is empty then, resets the virtual time and all
    /// customers.
    fn remove(&mut self, sequence: u64) -> Option<QueueEntry<T>> {
        let entry = self.waiting.remove(&sequence)?;
        self.expiries.remove(&(entry.latest_start, sequence));
        let call = &entry.call;
        if let Some(queue) = self.customer_queues.get_mut(&call.customer) {
            queue.remove(call.priority, sequence, call.cost);
        }
        if self.waiting.is_empty() {
            self.customer_queues.clear();
            self.virtual_time = 0.0;
        }
        Some(entry)
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some(&(latest_start, sequence)) = self.expiries.first() {
            if latest_start >= now {
                break;
            }
            let removed = self.remove(sequence);
            self.expired.extend(removed.map(|entry| entry.call.item));
        }
        let virtual_time = self.virtual_time;
        self.customer_queues
            .retain(|_, queue| !queue.is_empty() || queue.start_tag > virtual_time);
    }

    fn min_start_tag(&self) -> Option<f64> {
        let with_waiting = self
            .customer_queues
            .values()
            .filter(|queue| !queue.is_empty());
        with_waiting
            .map(|queue| queue.start_tag)
            .min_by(f64::total_cmp)
    }

    /// Returns the call to serve next: that of the customer with the lowest start tag, shifted by
    /// the priority of its next call.
    fn next_call(&self) -> Option<(CustomerId, RequestPriority, u64)> {
        let with_waiting = || {
            self.customer_queues
                .iter()
                .filter(|(_, queue)| !queue.is_empty())
        };
        let total_weight: f64 = with_waiting().map(|(_, queue)| queue.weight).sum();
        let priority_shift = |priority| match priority {
            RequestPriority::Urgent => -self.settings.urgent_lead / total_weight,
            RequestPriority::Normal => 0.0,
            RequestPriority::Bulk => self.settings.bulk_lag / total_weight,
        };
        with_waiting()
            .filter_map(|(customer, queue)| {
                let (priority, sequence) = queue.next_call()?;
                Some((
                    queue.start_tag + priority_shift(priority),
                    customer,
                    priority,
                    sequence,
                ))
            })
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.3.cmp(&right.3)))
            .map(|(_, customer, priority, sequence)| (customer.clone(), priority, sequence))
    }

    /// Evicts another call to make room for `call` and returns the item of the evicted one.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing `call` if no other call may be evicted for it.
    fn evict_for(&mut self, call: &WaitingCall<T>) -> Result<T, FailureReason> {
        let weight = f64::from(call.weight).max(MIN_WEIGHT);
        let own_queue = self.customer_queues.get(&call.customer);
        let own_load = (own_queue.map_or(0.0, |queue| queue.cost()) + call.cost) / weight;
        let others = self
            .customer_queues
            .iter()
            .filter(|(name, queue)| **name != call.customer && !queue.is_empty());
        let most_loaded = others
            .map(|(_, queue)| (queue.cost() / queue.weight, queue))
            .max_by(|left, right| left.0.total_cmp(&right.0));
        let refusal = match most_loaded {
            Some(_) => FailureReason::ShareExceeded,
            None => FailureReason::Overloaded,
        };
        let candidate = match most_loaded {
            Some((load, queue)) if load > own_load => queue.eviction_candidate(),
            _ => own_queue
                .and_then(CustomerQueue::eviction_candidate)
                .filter(|(priority, _)| *priority > call.priority),
        };
        let (_, sequence) = candidate.ok_or(refusal)?;
        self.cancel(sequence).ok_or(refusal)
    }

    /// Returns the time that the targets need for all waiting calls.
    fn drain_time(&self) -> Duration {
        let cost: f64 = self
            .customer_queues
            .values()
            .map(|queue| queue.cost())
            .sum();
        Duration::from_secs_f64(cost.max(0.0) / self.capacity)
    }
}
