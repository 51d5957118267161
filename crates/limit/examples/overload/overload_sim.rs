use {
    base::RequestPriority,
    limit::{
        Admission, AdmissionGate, AdmissionQuery, ConcurrencyLimit, FairQueue, LimitRange,
        QueueSettings, ReleaseOutcome, WaitingCall,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Number of calls that the pool runs at once.
const POOL_CAPACITY: usize = 16;
/// Number of customers that stay within their share.
const SMALL_CUSTOMER_COUNT: usize = 3;
/// Load of each small customer as a share of the pool's capacity.
const SMALL_LOAD: f64 = 0.1;
/// Simulated time in which requests arrive.
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time from the arrival of a request until it is given up.
const DEADLINE: Duration = Duration::from_secs(1);
/// Mean service time of a call.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Share of every customer's requests that is urgent.
const URGENT_SHARE: f64 = 0.1;
/// Weight of the latest call in the moving average of the call time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// How an entry admits and queues requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPolicy {
    /// Every request goes to the pool at once and waits there.
    Open,
    /// A fixed concurrency limit with one queue in order of arrival.
    FixedLimit,
    /// The fair queue with the adaptive concurrency limit.
    Fair,
    /// Like `Fair`, behind the admission gate.
    FairGate,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive { customer: usize },
    Finish { call: u64 },
    Deadline { call: u64 },
}

#[derive(Debug, Clone)]
struct SimCall {
    customer: usize,
    priority: RequestPriority,
    arrived_at: Duration,
    /// Time at which the call was sent to the pool.
    sent_at: Option<Duration>,
    /// Time at which the pool started to run the call.
    run_start: Option<Duration>,
    service_time: Duration,
}

/// Counts of requests that arrived and that were answered by their deadline.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCount {
    arrived: u64,
    answered: u64,
}

/// Simulation of one entry and one pool.
pub struct OverloadSim {
    policy: EntryPolicy,
    generator: StdRng,
    start: Instant,
    /// Simulated time since `start`.
    now: Duration,
    next_number: u64,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    /// Arrivals per second by customer.
    rates: Vec<f64>,
    calls: BTreeMap<u64, SimCall>,
    /// First-in-first-out queue of the policies without a fair queue.
    fifo: VecDeque<u64>,
    queue: FairQueue<u64>,
    limit: ConcurrencyLimit,
    gate: AdmissionGate,
    /// Moving average of the time from sending a call to its answer, in seconds.
    expected_seconds: f64,
    pool_running: BTreeSet<u64>,
    pool_waiting: VecDeque<u64>,
    /// Time that the pool spent on calls that were given up.
    wasted: Duration,
    /// Time that the pool spent on all calls.
    used: Duration,
    /// Counts by customer.
    counts: Vec<RequestCount>,
    /// Counts of the urgent requests of all customers.
    urgent: RequestCount,
}

/// Results of one run, as shares from 0 to 1.
#[derive(Debug, Clone, Copy)]
pub struct RunFigures {
    /// Share of all requests that were answered by their deadline.
    pub all: f64,
    /// The same for the requests of the small customers.
    pub small: f64,
    /// The same for urgent requests.
    pub urgent: f64,
    /// Share of the pool's time spent on calls that were given up.
    pub wasted: f64,
}

impl OverloadSim {
    pub fn new(policy: EntryPolicy, load: f64, seed: u64) -> Self {
        let start = Instant::now();
        let capacity = POOL_CAPACITY as f64 / MEAN_SERVICE_TIME.as_secs_f64();
        let flood_load = load - SMALL_LOAD * SMALL_CUSTOMER_COUNT as f64;
        let mut rates = vec![SMALL_LOAD * capacity; SMALL_CUSTOMER_COUNT];
        rates.push(flood_load * capacity);
        let slots = POOL_CAPACITY as u32;
        let range = match policy {
            EntryPolicy::Open => LimitRange {
                min: u32::MAX,
                max: u32::MAX,
            },
            EntryPolicy::FixedLimit => LimitRange {
                min: 2 * slots,
                max: 2 * slots,
            },
            EntryPolicy::Fair | EntryPolicy::FairGate => LimitRange {
                min: slots / 2,
                max: 8 * slots,
            },
        };
        let mut queue = FairQueue::new(QueueSettings::default());
        queue.set_capacity(POOL_CAPACITY as f64);
        Self {
            policy,
            generator: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            next_number: 0,
            events: BinaryHeap::new(),
            urgent: RequestCount::default(),
            counts: vec![RequestCount::default(); rates.len()],
            rates,
            calls: BTreeMap::new(),
            fifo: VecDeque::new(),
            queue,
            limit: ConcurrencyLimit::new(range, start),
            gate: AdmissionGate::default(),
            expected_seconds: MEAN_SERVICE_TIME.as_secs_f64(),
            pool_running: BTreeSet::new(),
            pool_waiting: VecDeque::new(),
            wasted: Duration::ZERO,
            used: Duration::ZERO,
        }
    }

    pub fn run(mut self) -> RunFigures {
        for customer in 0..self.rates.len() {
            self.schedule_arrival(customer);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                SimEvent::Arrive { customer } => self.arrive(customer),
                SimEvent::Finish { call } => self.finish(call),
                SimEvent::Deadline { call } => self.give_up(call),
            }
            self.send_waiting();
        }
        let attainment = |counts: &[RequestCount]| {
            let arrived: u64 = counts.iter().map(|count| count.arrived).sum();
            let answered: u64 = counts.iter().map(|count| count.answered).sum();
            answered as f64 / arrived as f64
        };
        RunFigures {
            all: attainment(&self.counts),
            small: attainment(&self.counts[..SMALL_CUSTOMER_COUNT]),
            urgent: attainment(&[self.urgent]),
            wasted: self.wasted.as_secs_f64() / self.used.as_secs_f64(),
        }
    }

    /// Returns the simulated time as an instant.
    fn clock(&self) -> Instant {
        self.start + self.now
    }

    fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        let number = self.take_number();
        self.events.push(Reverse((at, number, event)));
    }

    /// Draws an exponentially distributed time with this mean in seconds.
    fn exponential(&mut self, mean_seconds: f64) -> Duration {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean_seconds * uniform.ln())
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let at = self.now + self.exponential(1.0 / self.rates[customer]);
        if at < RUN_TIME {
            self.schedule(at, SimEvent::Arrive { customer });
        }
    }

    fn arrive(&mut self, customer: usize) {
        self.schedule_arrival(customer);
        let priority = match self.generator.random_bool(URGENT_SHARE) {
            true => RequestPriority::Urgent,
            false => RequestPriority::Normal,
        };
        self.counts[customer].arrived += 1;
        self.urgent.arrived += u64::from(priority == RequestPriority::Urgent);
        let service_time =
            MEAN_SERVICE_TIME / 2 + self.exponential(MEAN_SERVICE_TIME.as_secs_f64() / 2.0);
        let id = self.take_number();
        let call = SimCall {
            customer,
            priority,
            arrived_at: self.now,
            sent_at: None,
            run_start: None,
            service_time,
        };
        if self.is_refused(customer, priority) {
            return;
        }
        self.calls.insert(id, call);
        self.schedule(self.now + DEADLINE, SimEvent::Deadline { call: id });
        match self.policy {
            EntryPolicy::Open | EntryPolicy::FixedLimit => self.fifo.push_back(id),
            EntryPolicy::Fair | EntryPolicy::FairGate => self.push_fair(id, customer, priority),
        }
    }

    fn is_refused(&self, customer: usize, priority: RequestPriority) -> bool {
        let service_time = Duration::from_secs_f64(self.expected_seconds);
        let name = customer.to_string();
        let wait = self
            .queue
            .wait_estimate(&name, 1, priority, self.expected_seconds);
        let query = AdmissionQuery {
            stages: &[service_time],
            queue_wait: wait,
            remaining: DEADLINE,
        };
        self.policy == EntryPolicy::FairGate && self.gate.admit(query) != Admission::Admit
    }

    fn push_fair(&mut self, id: u64, customer: usize, priority: RequestPriority) {
        let now = self.clock();
        let call = WaitingCall {
            customer: customer.to_string(),
            weight: 1,
            priority,
            deadline: now + DEADLINE,
            cost: self.expected_seconds,
            item: id,
        };
        let removed_ids = match self.queue.push(call, now) {
            Ok(queued) => queued.evicted,
            Err(refusal) => vec![refusal.item],
        };
        for id in removed_ids {
            self.calls.remove(&id);
        }
    }

    /// Sends waiting calls to the pool up to the concurrency limit.
    fn send_waiting(&mut self) {
        let now = self.clock();
        for id in self.queue.expire(now) {
            self.calls.remove(&id);
        }
        while self.limit.in_flight() < self.limit.limit() {
            let popped = self.queue.pop(now).map(|popped| popped.call.item);
            let Some(id) = popped.or_else(|| self.fifo.pop_front()) else {
                return;
            };
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            self.limit.try_acquire();
            call.sent_at = Some(self.now);
            self.pool_waiting.push_back(id);
            self.fill_pool();
        }
    }

    fn fill_pool(&mut self) {
        while self.pool_running.len() < POOL_CAPACITY {
            let Some(id) = self.pool_waiting.pop_front() else {
                return;
            };
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            call.run_start = Some(self.now);
            let end = self.now + call.service_time;
            self.pool_running.insert(id);
            self.schedule(end, SimEvent::Finish { call: id });
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.counts[call.customer].answered += 1;
        self.urgent.answered += u64::from(call.priority == RequestPriority::Urgent);
        self.end_call(id, &call, ReleaseOutcome::Answered);
        let elapsed = self.now.saturating_sub(call.sent_at.unwrap_or(self.now));
        self.expected_seconds +=
            SERVICE_TIME_WEIGHT * (elapsed.as_secs_f64() - self.expected_seconds);
    }

    fn give_up(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        debug_assert!(self.now - call.arrived_at >= DEADLINE);
        if call.sent_at.is_some() {
            let run_start = call.run_start.unwrap_or(self.now);
            self.wasted += self.now - run_start;
            self.end_call(id, &call, ReleaseOutcome::TimedOut);
        }
    }

    fn end_call(&mut self, id: u64, call: &SimCall, outcome: ReleaseOutcome) {
        let elapsed = self.now - call.sent_at.unwrap_or(self.now);
        self.limit.release(outcome, elapsed, self.clock());
        self.used += self.now - call.run_start.unwrap_or(self.now);
        self.pool_running.remove(&id);
        self.fill_pool();
    }
}
