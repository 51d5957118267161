use {
    super::{
        TARGET_CAPACITY,
        entry_view::{EntryView, PickPolicy, target_name},
        run_plan::{RunFigures, RunPlan},
        sim_target::SimTarget,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    retry::HedgeCandidate,
    route::CallOutcome,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::{Duration, Instant},
    },
};

/// Properties of the simulated calls, which may be hedged.
const UNARY_CALL: HedgeCandidate = HedgeCandidate {
    is_idempotent: true,
    is_streaming: false,
};
/// Simulated time in which calls arrive.
const RUN_TIME: Duration = Duration::from_secs(60);
/// Time from the arrival of a call until it is given up.
const DEADLINE: Duration = Duration::from_secs(1);
/// Time at which the straggler becomes slow and the failing target starts to fail.
const FAULT_START: Duration = Duration::from_secs(20);
/// Mean service time at a target of speed 1.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time that the failing target takes to answer with an error.
const FAILURE_TIME: Duration = Duration::from_millis(2);
/// Index of the straggler.
const STRAGGLER: usize = 0;
/// Index of the failing target.
const FAILING: usize = 1;
/// Speed of the straggler relative to a typical target.
const STRAGGLER_SPEED: f64 = 0.1;
/// Duration of a pause.
const PAUSE_TIME: Duration = Duration::from_millis(500);
/// Mean time between the starts of two pauses, over all targets.
const PAUSE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Fault,
    Pause,
    Hedge { call: u64 },
    Finish { call: u64 },
    Deadline { call: u64 },
}

#[derive(Debug, Clone)]
struct SimCall {
    entry: usize,
    arrived_at: Duration,
    /// Time of the latest send.
    sent_at: Duration,
    target: usize,
    /// Service time at a target of speed 1.
    service_time: Duration,
    tried: Vec<String>,
    /// Number of the other copy of a hedged call.
    twin: Option<u64>,
}

/// Simulation of several entries that share one pool.
pub struct PoolSim {
    plan: RunPlan,
    generator: ChaCha8Rng,
    start: Instant,
    /// Simulated time since `start`.
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    next_number: u64,
    targets: Vec<SimTarget>,
    entries: Vec<EntryView>,
    calls: BTreeMap<u64, SimCall>,
    /// Arrivals per second.
    rate: f64,
    /// Number of requests that have arrived.
    arrived: u64,
    failed_calls: u64,
    hedges: u64,
    latencies: Vec<Duration>,
}

impl PoolSim {
    pub fn new(policy: PickPolicy, plan: RunPlan, seed: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut targets = vec![SimTarget::default(); plan.targets];
        for target in &mut targets {
            target.speed = 2_f64.powf(generator.random_range(-1.0..1.0));
        }
        let is_faulty = |target: usize| {
            (plan.straggler && target == STRAGGLER) || (plan.failing && target == FAILING)
        };
        let healthy = (0..plan.targets).filter(|&target| !is_faulty(target));
        let total_speed: f64 = healthy.map(|target| targets[target].speed).sum();
        let rate =
            plan.load * total_speed * f64::from(TARGET_CAPACITY) / MEAN_SERVICE_TIME.as_secs_f64();
        let entries = (0..plan.entries as u64)
            .map(|entry| EntryView::new(policy, plan.targets, seed ^ entry, start));
        Self {
            plan,
            start,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            next_number: 0,
            targets,
            entries: entries.collect(),
            calls: BTreeMap::new(),
            rate,
            arrived: 0,
            failed_calls: 0,
            hedges: 0,
            latencies: Vec::new(),
            generator,
        }
    }

    pub fn run(mut self) -> RunFigures {
        self.schedule(Duration::ZERO, SimEvent::Arrive);
        self.schedule(FAULT_START, SimEvent::Fault);
        if self.plan.pauses {
            self.schedule(PAUSE_INTERVAL, SimEvent::Pause);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                SimEvent::Arrive => self.arrive(),
                SimEvent::Fault => self.inject_faults(),
                SimEvent::Pause => self.pause_target(),
                SimEvent::Hedge { call } => self.hedge(call),
                SimEvent::Finish { call } => self.finish(call),
                SimEvent::Deadline { call } => self.give_up(call),
            }
        }
        let answered = self.latencies.len() as f64;
        // Calls without an answer count with the deadline as their latency.
        self.latencies.resize(self.arrived as usize, DEADLINE);
        self.latencies.sort_unstable();
        let latency_at = |quantile: f64| {
            let rank = (self.latencies.len() as f64 * quantile) as usize;
            self.latencies[rank.min(self.latencies.len() - 1)]
        };
        RunFigures {
            attainment: answered / self.arrived as f64,
            failed: self.failed_calls as f64 / self.arrived as f64,
            hedged: self.hedges as f64 / self.arrived as f64,
            p50: latency_at(0.5),
            p99: latency_at(0.99),
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

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        let number = self.take_number();
        self.events.push(Reverse((self.now + delay, number, event)));
    }

    /// Draws an exponentially distributed time with this mean in seconds.
    fn exponential(&mut self, mean_seconds: f64) -> Duration {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean_seconds * uniform.ln())
    }

    fn inject_faults(&mut self) {
        if self.plan.straggler {
            self.targets[STRAGGLER].speed = STRAGGLER_SPEED;
        }
        self.targets[FAILING].failing = self.plan.failing;
    }

    fn pause_target(&mut self) {
        let target = self.generator.random_range(0..self.plan.targets);
        self.targets[target].paused_until = self.now + PAUSE_TIME;
        let gap = self.exponential(PAUSE_INTERVAL.as_secs_f64());
        if self.now + gap < RUN_TIME {
            self.schedule(gap, SimEvent::Pause);
        }
    }

    /// Sends a second copy of a call that has no answer yet, if the retry budget allows.
    fn hedge(&mut self, id: u64) {
        let now = self.clock();
        let Some(call) = self.calls.get(&id).filter(|call| call.twin.is_none()) else {
            return;
        };
        if !self.entries[call.entry].budget.take_token(now) {
            return;
        }
        let copy = SimCall {
            twin: Some(id),
            ..call.clone()
        };
        let twin = self.take_number();
        self.calls.insert(twin, copy);
        if let Some(call) = self.calls.get_mut(&id) {
            call.twin = Some(twin);
        }
        self.hedges += 1;
        self.send(twin);
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / self.rate);
        if self.now + gap < RUN_TIME {
            self.schedule(gap, SimEvent::Arrive);
        }
        self.arrived += 1;
        let id = self.take_number();
        // Half fixed and half exponential, so that service times vary without a heavy tail.
        let mean_seconds = MEAN_SERVICE_TIME.as_secs_f64() / 2.0;
        let service_time = MEAN_SERVICE_TIME / 2 + self.exponential(mean_seconds);
        let call = SimCall {
            entry: self.generator.random_range(0..self.plan.entries),
            arrived_at: self.now,
            sent_at: self.now,
            target: 0,
            service_time,
            tried: Vec::new(),
            twin: None,
        };
        let entry = call.entry;
        self.calls.insert(id, call);
        self.schedule(DEADLINE, SimEvent::Deadline { call: id });
        let delay = self.entries[entry].hedges.hedge_after(UNARY_CALL);
        if let Some(delay) = delay.filter(|_| self.plan.hedge) {
            self.schedule(delay, SimEvent::Hedge { call: id });
        }
        self.send(id);
    }

    fn send(&mut self, id: u64) {
        let now = self.clock();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let entry = &mut self.entries[call.entry];
        let target = entry.pick(&call.tried, &mut self.generator, now);
        entry.in_flight[target] += 1;
        entry.pool.record_start(&target_name(target), now);
        call.target = target;
        call.sent_at = self.now;
        call.tried.push(target_name(target));
        let failing = self.targets[target].failing;
        if failing {
            self.schedule(FAILURE_TIME, SimEvent::Finish { call: id });
            return;
        }
        self.targets[target].waiting.push_back(id);
        self.start_waiting(target);
    }

    /// Starts the calls that wait at a target, as far as its capacity allows.
    fn start_waiting(&mut self, target: usize) {
        self.targets[target].record_load(self.now);
        while self.targets[target].running.len() < TARGET_CAPACITY as usize {
            let Some(id) = self.targets[target].waiting.pop_front() else {
                return;
            };
            self.targets[target].running.insert(id);
            let service_time = self.calls[&id]
                .service_time
                .div_f64(self.targets[target].speed);
            self.schedule(service_time, SimEvent::Finish { call: id });
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        let target = &self.targets[call.target];
        if target.paused_until > self.now {
            let delay = target.paused_until - self.now;
            self.schedule(delay, SimEvent::Finish { call: id });
            return;
        }
        if target.failing {
            self.fail(id, &call);
            return;
        }
        self.end_call(id, &call, CallOutcome::Answered);
        self.calls.remove(&id);
        self.cancel_twin(&call);
        let entry = &mut self.entries[call.entry];
        entry.hedges.observe(self.now - call.sent_at);
        entry.budget.on_success();
        self.latencies.push(self.now - call.arrived_at);
    }

    /// Records an error answer and sends the call again if it has retries left.
    fn fail(&mut self, id: u64, call: &SimCall) {
        self.end_call(id, call, CallOutcome::Failed);
        self.failed_calls += 1;
        if call.tried.len() > self.plan.retries {
            self.calls.remove(&id);
            return;
        }
        self.send(id);
    }

    fn cancel_twin(&mut self, call: &SimCall) {
        let twin = call
            .twin
            .and_then(|twin| Some((twin, self.calls.remove(&twin)?)));
        if let Some((id, copy)) = twin {
            self.end_call(id, &copy, CallOutcome::Cancelled);
        }
    }

    fn give_up(&mut self, id: u64) {
        if let Some(call) = self.calls.remove(&id) {
            self.end_call(id, &call, CallOutcome::TimedOut);
            self.cancel_twin(&call);
        }
    }

    /// Removes the call from its target and records at the entry how it ended.
    fn end_call(&mut self, id: u64, call: &SimCall, outcome: CallOutcome) {
        let now = self.clock();
        let target = &mut self.targets[call.target];
        target.running.remove(&id);
        target.waiting.retain(|waiting| *waiting != id);
        let load = target.load_at(self.now.saturating_sub(self.plan.report_lag));
        let reported_load = (outcome == CallOutcome::Answered).then_some(load);
        let entry = &mut self.entries[call.entry];
        entry.in_flight[call.target] -= 1;
        let elapsed = self.now - call.sent_at;
        let name = target_name(call.target);
        entry
            .pool
            .record_end(&name, elapsed, outcome, reported_load, now);
        self.start_waiting(call.target);
    }
}
