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

const PLACES: usize = 16;
const SMALL_CUSTOMERS: usize = 3;
/// Load of each small customer as a part of what the pool can do.
const SMALL_LOAD: f64 = 0.1;
const RUN_TIME: Duration = Duration::from_secs(60);
const DEADLINE: Duration = Duration::from_secs(1);
const MEAN_SERVICE: Duration = Duration::from_millis(100);
/// Part of every customer's requests that is urgent.
const URGENT_PART: f64 = 0.1;
/// Weight of the latest call in the expected service time.
const SERVICE_WEIGHT: f64 = 0.05;

/// How an entry lets requests in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPolicy {
    /// Everything goes to the pool at once and waits there.
    Open,
    /// A fixed limit with one queue in order of arrival.
    FixedLimit,
    /// The fair queue before the adaptive limit.
    Fair,
    /// The same behind the admission gate.
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
    arrived: Duration,
    sent: Option<Duration>,
    placed: Option<Duration>,
    service: Duration,
}

/// What became of one customer's requests, or of all.
#[derive(Debug, Clone, Copy, Default)]
struct CustomerCount {
    arrived: u64,
    whole: u64,
}

/// One entry before one pool.
pub struct OverloadSim {
    policy: EntryPolicy,
    generator: StdRng,
    start: Instant,
    now: Duration,
    next_number: u64,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    rates: Vec<f64>,
    calls: BTreeMap<u64, SimCall>,
    line: VecDeque<u64>,
    queue: FairQueue<u64>,
    limit: ConcurrencyLimit,
    gate: AdmissionGate,
    expected: f64,
    pool_running: BTreeSet<u64>,
    pool_waiting: VecDeque<u64>,
    wasted: Duration,
    used: Duration,
    counts: Vec<CustomerCount>,
    urgent: CustomerCount,
}

/// Figures of one run, in parts of one.
#[derive(Debug, Clone, Copy)]
pub struct RunFigures {
    pub all: f64,
    pub small: f64,
    pub urgent: f64,
    pub wasted: f64,
}

impl OverloadSim {
    pub fn new(policy: EntryPolicy, load: f64, seed: u64) -> Self {
        let start = Instant::now();
        let capacity = PLACES as f64 / MEAN_SERVICE.as_secs_f64();
        let flood = load - SMALL_LOAD * SMALL_CUSTOMERS as f64;
        let mut rates = vec![SMALL_LOAD * capacity; SMALL_CUSTOMERS];
        rates.push(flood * capacity);
        let places = PLACES as u32;
        let range = match policy {
            EntryPolicy::Open => LimitRange {
                min: u32::MAX,
                max: u32::MAX,
            },
            EntryPolicy::FixedLimit => LimitRange {
                min: 2 * places,
                max: 2 * places,
            },
            EntryPolicy::Fair | EntryPolicy::FairGate => LimitRange {
                min: places / 2,
                max: 8 * places,
            },
        };
        let mut queue = FairQueue::new(QueueSettings::default());
        queue.set_capacity(PLACES as f64);
        Self {
            policy,
            generator: StdRng::seed_from_u64(seed),
            start,
            now: Duration::ZERO,
            next_number: 0,
            events: BinaryHeap::new(),
            urgent: CustomerCount::default(),
            counts: vec![CustomerCount::default(); rates.len()],
            rates,
            calls: BTreeMap::new(),
            line: VecDeque::new(),
            queue,
            limit: ConcurrencyLimit::new(range, start),
            gate: AdmissionGate::default(),
            expected: MEAN_SERVICE.as_secs_f64(),
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
        let part = |counts: &[CustomerCount]| {
            let arrived: u64 = counts.iter().map(|count| count.arrived).sum();
            let whole: u64 = counts.iter().map(|count| count.whole).sum();
            whole as f64 / arrived as f64
        };
        RunFigures {
            all: part(&self.counts),
            small: part(&self.counts[..SMALL_CUSTOMERS]),
            urgent: part(&[self.urgent]),
            wasted: self.wasted.as_secs_f64() / self.used.as_secs_f64(),
        }
    }

    fn clock(&self) -> Instant {
        self.start + self.now
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        let number = self.number();
        self.events.push(Reverse((at, number, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean * uniform.ln())
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let at = self.now + self.exponential(1.0 / self.rates[customer]);
        if at < RUN_TIME {
            self.schedule(at, SimEvent::Arrive { customer });
        }
    }

    fn arrive(&mut self, customer: usize) {
        self.schedule_arrival(customer);
        let priority = match self.generator.random_bool(URGENT_PART) {
            true => RequestPriority::Urgent,
            false => RequestPriority::Normal,
        };
        self.counts[customer].arrived += 1;
        self.urgent.arrived += u64::from(priority == RequestPriority::Urgent);
        let service = MEAN_SERVICE / 2 + self.exponential(MEAN_SERVICE.as_secs_f64() / 2.0);
        let id = self.number();
        let call = SimCall {
            customer,
            priority,
            arrived: self.now,
            sent: None,
            placed: None,
            service,
        };
        if self.is_refused(customer, priority) {
            return;
        }
        self.calls.insert(id, call);
        self.schedule(self.now + DEADLINE, SimEvent::Deadline { call: id });
        match self.policy {
            EntryPolicy::Open | EntryPolicy::FixedLimit => self.line.push_back(id),
            EntryPolicy::Fair | EntryPolicy::FairGate => self.push_fair(id, customer, priority),
        }
    }

    fn is_refused(&self, customer: usize, priority: RequestPriority) -> bool {
        let expected = Duration::from_secs_f64(self.expected);
        let name = customer.to_string();
        let wait = self.queue.wait_estimate(&name, 1, priority, self.expected);
        let query = AdmissionQuery {
            stages: &[expected],
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
            cost: self.expected,
            item: id,
        };
        let gone = match self.queue.push(call, now) {
            Ok(queued) => queued.evicted,
            Err(refusal) => vec![refusal.item],
        };
        for id in gone {
            self.calls.remove(&id);
        }
    }

    /// Sends what the limit lets through.
    fn send_waiting(&mut self) {
        let now = self.clock();
        for id in self.queue.expire(now) {
            self.calls.remove(&id);
        }
        while self.limit.in_flight() < self.limit.limit() {
            let popped = self.queue.pop(now).map(|popped| popped.call.item);
            let Some(id) = popped.or_else(|| self.line.pop_front()) else {
                return;
            };
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            self.limit.try_acquire();
            call.sent = Some(self.now);
            self.pool_waiting.push_back(id);
            self.fill_pool();
        }
    }

    fn fill_pool(&mut self) {
        while self.pool_running.len() < PLACES {
            let Some(id) = self.pool_waiting.pop_front() else {
                return;
            };
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            call.placed = Some(self.now);
            let end = self.now + call.service;
            self.pool_running.insert(id);
            self.schedule(end, SimEvent::Finish { call: id });
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.counts[call.customer].whole += 1;
        self.urgent.whole += u64::from(call.priority == RequestPriority::Urgent);
        self.leave_pool(id, &call, ReleaseOutcome::Answered);
        let elapsed = self.now.saturating_sub(call.sent.unwrap_or(self.now));
        self.expected += SERVICE_WEIGHT * (elapsed.as_secs_f64() - self.expected);
    }

    fn give_up(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        debug_assert!(self.now - call.arrived >= DEADLINE);
        if call.sent.is_some() {
            let placed = call.placed.unwrap_or(self.now);
            self.wasted += self.now - placed;
            self.leave_pool(id, &call, ReleaseOutcome::TimedOut);
        }
    }

    fn leave_pool(&mut self, id: u64, call: &SimCall, outcome: ReleaseOutcome) {
        let elapsed = self.now - call.sent.unwrap_or(self.now);
        self.limit.release(outcome, elapsed, self.clock());
        self.used += self.now - call.placed.unwrap_or(self.now);
        self.pool_running.remove(&id);
        self.fill_pool();
    }
}
