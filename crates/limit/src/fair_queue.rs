use {
    crate::{
        Popped, QueueRefusal, QueueSettings, Queued, WaitingCall, customer_lane::CustomerLane,
        wait_room::wait_room,
    },
    base::{CustomerId, FailureReason, RequestPriority},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Least weight of a customer; guards against division by zero.
const LEAST_WEIGHT: f64 = 0.001;
/// Least cost of a call in target-seconds, so that no call is free.
const LEAST_COST: f64 = 0.001;
/// Least time after which a refused caller may come back.
const LEAST_RETRY: Duration = Duration::from_millis(50);

#[derive(Debug, Clone)]
struct Waiting<T> {
    call: WaitingCall<T>,
    pushed: Instant,
    latest_start: Instant,
}

/// Weighted fair queue over customers, with priorities.
///
/// Each customer with calls waiting gets service in proportion to its weight, whatever the
/// others send; what one leaves unused goes to the others. Among the calls of one customer, and
/// within a bound among those of all, the more urgent go first.
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
/// queue.settle("large", 0.05);
/// let place = queue.push(call("small", 4), now).unwrap().place;
/// assert_eq!(queue.cancel(place), Some(4));
/// queue.push(call("small", 5), now).unwrap();
/// assert!(queue.next_expiry().is_some());
/// assert_eq!(queue.expire(now + Duration::from_secs(3)), [5]);
/// ```
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    waiting: BTreeMap<u64, Waiting<T>>,
    lanes: BTreeMap<CustomerId, CustomerLane>,
    starts: BTreeSet<(Instant, u64)>,
    late: Vec<T>,
    virtual_time: f64,
    next_place: u64,
    capacity: f64,
}

impl<T> FairQueue<T> {
    /// Queue in which nothing waits.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            lanes: BTreeMap::new(),
            starts: BTreeSet::new(),
            late: Vec::new(),
            virtual_time: 0.0,
            next_place: 0,
            capacity: 1.0,
        }
    }

    /// Sets how many target-seconds the targets work off in a second, for the estimates.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(LEAST_WEIGHT);
    }

    /// Gives the call a place.
    ///
    /// # Errors
    ///
    /// Refuses the call of a customer that has more waiting than its share of a full queue;
    /// otherwise the customer furthest above its share loses a call.
    pub fn push(
        &mut self,
        mut call: WaitingCall<T>,
        now: Instant,
    ) -> Result<Queued<T>, QueueRefusal<T>> {
        call.cost = call.cost.max(LEAST_COST);
        let Some(latest_start) = self.latest_start(&call, now) else {
            return Err(QueueRefusal {
                reason: FailureReason::DeadlineTooShort,
                retry_after: LEAST_RETRY,
                item: call.item,
            });
        };
        let mut evicted = Vec::new();
        if self.waiting.len() >= self.settings.places {
            match self.make_room(&call) {
                Ok(item) => evicted.push(item),
                Err(reason) => {
                    return Err(QueueRefusal {
                        reason,
                        retry_after: self.drain_time().max(LEAST_RETRY),
                        item: call.item,
                    });
                }
            }
        }
        let place = self.insert(Waiting {
            call,
            pushed: now,
            latest_start,
        });
        Ok(Queued { place, evicted })
    }

    /// Takes the call whose turn it is; calls that can't finish any more are passed over and
    /// come out of `expire`.
    pub fn pop(&mut self, now: Instant) -> Option<Popped<T>> {
        self.sweep(now);
        self.virtual_time = self.least_tag().unwrap_or(self.virtual_time);
        let (customer, priority, place) = self.next_call()?;
        let lane = self.lanes.get_mut(&customer)?;
        lane.overtake(priority);
        let next = self.waiting.get(&place)?;
        lane.tag += next.call.cost / lane.weight;
        let waiting = self.take(place)?;
        Some(Popped {
            waited: now.saturating_duration_since(waiting.pushed),
            call: waiting.call,
        })
    }

    /// Takes out all calls that can't finish by their deadline any more; none of them was run.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.sweep(now);
        std::mem::take(&mut self.late)
    }

    /// When the next call expires unless it is popped.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.starts.first().map(|(latest_start, _)| *latest_start)
    }

    /// Takes out a call whose caller went away.
    pub fn cancel(&mut self, place: u64) -> Option<T> {
        self.take(place).map(|waiting| waiting.call.item)
    }

    /// Corrects a customer's account by the target-seconds that a popped call took beyond what
    /// was expected of it.
    pub fn settle(&mut self, customer: &str, beyond: f64) {
        if let Some(lane) = self.lanes.get_mut(customer) {
            lane.tag += beyond / lane.weight;
        }
    }

    /// Time that a further call of the customer would wait.
    pub fn wait_estimate(
        &self,
        customer: &str,
        weight: u32,
        priority: RequestPriority,
        cost: f64,
    ) -> Duration {
        let weight = f64::from(weight).max(LEAST_WEIGHT);
        let lane = self.lanes.get(customer);
        let own = lane.map_or(0.0, |lane| lane.cost_ahead_of(priority));
        let others = self.lanes.iter().filter(|(name, _)| *name != customer);
        let ahead: f64 = others
            .map(|(_, lane)| lane.cost().min((own + cost) * lane.weight / weight))
            .sum();
        Duration::from_secs_f64((own + ahead).max(0.0) / self.capacity)
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn latest_start(&self, call: &WaitingCall<T>, now: Instant) -> Option<Instant> {
        let remaining = call.deadline.checked_duration_since(now)?;
        let service = Duration::try_from_secs_f64(call.cost).ok()?;
        let room = wait_room(remaining, service, self.settings.start_margin)?;
        Some(now + room)
    }

    fn insert(&mut self, waiting: Waiting<T>) -> u64 {
        let place = self.next_place;
        self.next_place += 1;
        let start = self.least_tag().unwrap_or(self.virtual_time);
        let call = &waiting.call;
        let lane = self.lanes.entry(call.customer.clone()).or_default();
        if lane.is_empty() {
            lane.tag = lane.tag.max(start);
        }
        lane.weight = f64::from(call.weight).max(LEAST_WEIGHT);
        lane.insert(call.priority, place, call.cost);
        self.starts.insert((waiting.latest_start, place));
        self.waiting.insert(place, waiting);
        place
    }

    /// Takes a call out of every index; an empty queue forgets who was served before.
    fn take(&mut self, place: u64) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(&place)?;
        self.starts.remove(&(waiting.latest_start, place));
        let call = &waiting.call;
        if let Some(lane) = self.lanes.get_mut(&call.customer) {
            lane.remove(call.priority, place, call.cost);
        }
        if self.waiting.is_empty() {
            self.lanes.clear();
            self.virtual_time = 0.0;
        }
        Some(waiting)
    }

    fn sweep(&mut self, now: Instant) {
        while let Some(&(latest_start, place)) = self.starts.first() {
            if latest_start >= now {
                break;
            }
            let taken = self.take(place);
            self.late.extend(taken.map(|waiting| waiting.call.item));
        }
        let virtual_time = self.virtual_time;
        self.lanes
            .retain(|_, lane| !lane.is_empty() || lane.tag > virtual_time);
    }

    fn least_tag(&self) -> Option<f64> {
        let filled = self.lanes.values().filter(|lane| !lane.is_empty());
        filled.map(|lane| lane.tag).min_by(f64::total_cmp)
    }

    fn next_call(&self) -> Option<(CustomerId, RequestPriority, u64)> {
        let filled = || self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let weights: f64 = filled().map(|(_, lane)| lane.weight).sum();
        let shift = |priority| match priority {
            RequestPriority::Urgent => -self.settings.urgent_lead / weights,
            RequestPriority::Normal => 0.0,
            RequestPriority::Bulk => self.settings.bulk_lag / weights,
        };
        filled()
            .filter_map(|(customer, lane)| {
                let (priority, place) = lane.head()?;
                Some((lane.tag + shift(priority), customer, priority, place))
            })
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.3.cmp(&right.3)))
            .map(|(_, customer, priority, place)| (customer.clone(), priority, place))
    }

    /// Makes room for a call by evicting one, or says why the call itself is refused.
    fn make_room(&mut self, call: &WaitingCall<T>) -> Result<T, FailureReason> {
        let weight = f64::from(call.weight).max(LEAST_WEIGHT);
        let own = self.lanes.get(&call.customer);
        let own_load = (own.map_or(0.0, |lane| lane.cost()) + call.cost) / weight;
        let others = self
            .lanes
            .iter()
            .filter(|(name, lane)| **name != call.customer && !lane.is_empty());
        let largest = others
            .map(|(_, lane)| (lane.cost() / lane.weight, lane))
            .max_by(|left, right| left.0.total_cmp(&right.0));
        let refusal = match largest {
            Some(_) => FailureReason::ShareExceeded,
            None => FailureReason::Overloaded,
        };
        let victim = match largest {
            Some((load, lane)) if load > own_load => lane.tail(),
            _ => own
                .and_then(CustomerLane::tail)
                .filter(|(priority, _)| *priority > call.priority),
        };
        let (_, place) = victim.ok_or(refusal)?;
        self.cancel(place).ok_or(refusal)
    }

    fn drain_time(&self) -> Duration {
        let cost: f64 = self.lanes.values().map(|lane| lane.cost()).sum();
        Duration::from_secs_f64(cost.max(0.0) / self.capacity)
    }
}
