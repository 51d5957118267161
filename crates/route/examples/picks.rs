//! Compares ways to choose a target: several entries before one pool with unequal targets, a
//! straggler and a target that fails fast, as a seeded event simulation in one thread.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
        time::{Duration, Instant},
    },
};

const SEEDS: u64 = 11;
const PLACES: u32 = 4;
const RUN_TIME: Duration = Duration::from_secs(60);
const DEADLINE: Duration = Duration::from_secs(1);
const FAULT_START: Duration = Duration::from_secs(20);
const MEAN_SERVICE: Duration = Duration::from_millis(100);
const FAILURE_TIME: Duration = Duration::from_millis(2);
const STRAGGLER: usize = 0;
const FAILING: usize = 1;
const STRAGGLER_SPEED: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PickPolicy {
    Random,
    LeastInFlight,
    TwoChoices,
    PoolWithoutEjection,
    Pool(usize),
}

const POLICIES: [(PickPolicy, &str); 7] = [
    (PickPolicy::Random, "random"),
    (PickPolicy::LeastInFlight, "least in flight"),
    (PickPolicy::TwoChoices, "two choices"),
    (PickPolicy::PoolWithoutEjection, "two choices + speed"),
    (PickPolicy::Pool(2), "two choices + speed + ejection"),
    (PickPolicy::Pool(3), "three choices, same"),
    (PickPolicy::Pool(usize::MAX), "all targets, same"),
];

/// What a run consists of.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RunPlan {
    targets: usize,
    entries: usize,
    /// Arrivals as a part of what the targets without faults can do.
    load: f64,
    retries: usize,
    report_lag: Duration,
    straggler: bool,
    failing: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Fault,
    Finish { call: u64 },
    Deadline { call: u64 },
}

#[derive(Debug, Clone)]
struct SimCall {
    entry: usize,
    arrived: Duration,
    sent: Duration,
    target: usize,
    service: Duration,
    tried: Vec<String>,
}

#[derive(Debug, Clone, Default)]
struct SimTarget {
    speed: f64,
    failing: bool,
    running: BTreeSet<u64>,
    waiting: VecDeque<u64>,
    loads: VecDeque<(Duration, f64)>,
}

impl SimTarget {
    /// Notes the load of this moment.
    fn note(&mut self, now: Duration) {
        let calls = self.running.len() + self.waiting.len();
        self.loads
            .push_back((now, calls as f64 / f64::from(PLACES)));
    }

    /// Load as it was a while ago.
    fn load_at(&mut self, then: Duration) -> f64 {
        while self.loads.get(1).is_some_and(|(at, _)| *at <= then) {
            self.loads.pop_front();
        }
        let first = self.loads.front().filter(|(at, _)| *at <= then);
        first.map_or(0.0, |(_, load)| *load)
    }
}

/// One entry's way to choose and what it keeps for that.
struct EntryView {
    policy: PickPolicy,
    pool: TargetPool,
    in_flight: Vec<u32>,
}

impl EntryView {
    fn new(policy: PickPolicy, targets: usize, seed: u64, now: Instant) -> Self {
        let (eject_share, choices) = match policy {
            PickPolicy::Pool(choices) => (PoolSettings::default().eject_share, choices),
            _ => (0.0, 2),
        };
        let settings = PoolSettings {
            eject_share,
            choices,
            ..PoolSettings::default()
        };
        let mut pool = TargetPool::new(settings, seed);
        pool.set_targets((0..targets).map(target_spec), now);
        Self {
            policy,
            pool,
            in_flight: vec![0; targets],
        }
    }

    fn pick(&mut self, tried: &[String], generator: &mut impl Rng, now: Instant) -> usize {
        let open: Vec<usize> = (0..self.in_flight.len())
            .filter(|&target| !tried.contains(&target_name(target)))
            .collect();
        let draw = |generator: &mut dyn rand::RngCore| open[generator.random_range(0..open.len())];
        match self.policy {
            PickPolicy::Random => draw(generator),
            PickPolicy::LeastInFlight => {
                let least = open.iter().map(|&target| self.in_flight[target]).min();
                let best: Vec<usize> = open
                    .iter()
                    .copied()
                    .filter(|&target| Some(self.in_flight[target]) == least)
                    .collect();
                best[generator.random_range(0..best.len())]
            }
            PickPolicy::TwoChoices => {
                let (first, second) = (draw(generator), draw(generator));
                match self.in_flight[second] < self.in_flight[first] {
                    true => second,
                    false => first,
                }
            }
            PickPolicy::PoolWithoutEjection | PickPolicy::Pool(_) => {
                let query = PickQuery {
                    tried,
                    local_centre: "north",
                    ..PickQuery::default()
                };
                let pick = self.pool.pick(query, now).expect("there are targets");
                pick.target[1..].parse().expect("names are numbers")
            }
        }
    }
}

fn target_name(target: usize) -> String {
    format!("t{target:02}")
}

fn target_spec(target: usize) -> TargetSpec {
    TargetSpec {
        target: target_name(target),
        address: format!("127.0.0.1:{}", 9_000 + target),
        data_centre: String::from("north"),
        capacity: PLACES,
        leaving: false,
    }
}

struct PoolSim {
    plan: RunPlan,
    generator: ChaCha8Rng,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    next_number: u64,
    targets: Vec<SimTarget>,
    entries: Vec<EntryView>,
    calls: BTreeMap<u64, SimCall>,
    rate: f64,
    arrived: u64,
    failed_calls: u64,
    latencies: Vec<Duration>,
}

/// What a run came to.
#[derive(Debug, Clone, Copy)]
struct RunFigures {
    attainment: f64,
    failed: f64,
    p50: Duration,
    p99: Duration,
}

impl PoolSim {
    fn new(policy: PickPolicy, plan: RunPlan, seed: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut targets = vec![SimTarget::default(); plan.targets];
        for target in &mut targets {
            target.speed = 2_f64.powf(generator.random_range(-1.0..1.0));
        }
        let lost = |place: usize| {
            (plan.straggler && place == STRAGGLER) || (plan.failing && place == FAILING)
        };
        let whole = (0..plan.targets).filter(|&place| !lost(place));
        let speed: f64 = whole.map(|place| targets[place].speed).sum();
        let rate = plan.load * speed * f64::from(PLACES) / MEAN_SERVICE.as_secs_f64();
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
            latencies: Vec::new(),
            generator,
        }
    }

    fn run(mut self) -> RunFigures {
        self.schedule(Duration::ZERO, SimEvent::Arrive);
        self.schedule(FAULT_START, SimEvent::Fault);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                SimEvent::Arrive => self.arrive(),
                SimEvent::Fault => self.fail_targets(),
                SimEvent::Finish { call } => self.finish(call),
                SimEvent::Deadline { call } => self.give_up(call),
            }
        }
        let whole = self.latencies.len() as f64;
        self.latencies.resize(self.arrived as usize, DEADLINE);
        self.latencies.sort_unstable();
        let at = |quantile: f64| {
            let rank = (self.latencies.len() as f64 * quantile) as usize;
            self.latencies[rank.min(self.latencies.len() - 1)]
        };
        RunFigures {
            attainment: whole / self.arrived as f64,
            failed: self.failed_calls as f64 / self.arrived as f64,
            p50: at(0.5),
            p99: at(0.99),
        }
    }

    fn clock(&self) -> Instant {
        self.start + self.now
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        let number = self.number();
        self.events.push(Reverse((self.now + delay, number, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-mean * uniform.ln())
    }

    fn fail_targets(&mut self) {
        if self.plan.straggler {
            self.targets[STRAGGLER].speed = STRAGGLER_SPEED;
        }
        self.targets[FAILING].failing = self.plan.failing;
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / self.rate);
        if self.now + gap < RUN_TIME {
            self.schedule(gap, SimEvent::Arrive);
        }
        self.arrived += 1;
        let id = self.number();
        // Half fixed and half exponential, so that calls differ without a heavy tail.
        let mean = MEAN_SERVICE.as_secs_f64() / 2.0;
        let service = MEAN_SERVICE / 2 + self.exponential(mean);
        let call = SimCall {
            entry: self.generator.random_range(0..self.plan.entries),
            arrived: self.now,
            sent: self.now,
            target: 0,
            service,
            tried: Vec::new(),
        };
        self.calls.insert(id, call);
        self.schedule(DEADLINE, SimEvent::Deadline { call: id });
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
        entry.pool.started(&target_name(target), now);
        call.target = target;
        call.sent = self.now;
        call.tried.push(target_name(target));
        let failing = self.targets[target].failing;
        if failing {
            self.schedule(FAILURE_TIME, SimEvent::Finish { call: id });
            return;
        }
        self.targets[target].waiting.push_back(id);
        self.serve(target);
    }

    fn serve(&mut self, place: usize) {
        self.targets[place].note(self.now);
        while self.targets[place].running.len() < PLACES as usize {
            let Some(id) = self.targets[place].waiting.pop_front() else {
                return;
            };
            self.targets[place].running.insert(id);
            let service = self.calls[&id].service.div_f64(self.targets[place].speed);
            self.schedule(service, SimEvent::Finish { call: id });
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id).cloned() else {
            return;
        };
        if !self.targets[call.target].failing {
            self.leave(id, &call, CallOutcome::Whole);
            self.calls.remove(&id);
            self.latencies.push(self.now - call.arrived);
            return;
        }
        self.leave(id, &call, CallOutcome::FailedFast);
        self.failed_calls += 1;
        if call.tried.len() > self.plan.retries {
            self.calls.remove(&id);
            return;
        }
        self.send(id);
    }

    fn give_up(&mut self, id: u64) {
        if let Some(call) = self.calls.remove(&id) {
            self.leave(id, &call, CallOutcome::TimedOut);
        }
    }

    /// Takes the call off its target and tells the entry how it ended.
    fn leave(&mut self, id: u64, call: &SimCall, outcome: CallOutcome) {
        let now = self.clock();
        let target = &mut self.targets[call.target];
        target.running.remove(&id);
        target.waiting.retain(|waiting| *waiting != id);
        let load = target.load_at(self.now.saturating_sub(self.plan.report_lag));
        let reported = (outcome == CallOutcome::Whole).then_some(load);
        let entry = &mut self.entries[call.entry];
        entry.in_flight[call.target] -= 1;
        let elapsed = self.now - call.sent;
        let name = target_name(call.target);
        entry.pool.answered(&name, elapsed, outcome, reported, now);
        self.serve(call.target);
    }
}

fn spread<T: Copy + PartialOrd>(mut values: Vec<T>) -> (T, T, T) {
    values.sort_by(|left, right| left.partial_cmp(right).expect("figures compare"));
    let last = values.len() - 1;
    (values[last / 2], values[0], values[last])
}

fn print_row(name: &str, runs: &[RunFigures]) {
    let of = |figure: fn(&RunFigures) -> f64| spread(runs.iter().map(figure).collect());
    let (whole, whole_least, whole_most) = of(|run| run.attainment * 100.0);
    let (failed, failed_least, failed_most) = of(|run| run.failed * 100.0);
    let (p50, p50_least, p50_most) = of(|run| run.p50.as_secs_f64() * 1e3);
    let (p99, p99_least, p99_most) = of(|run| run.p99.as_secs_f64() * 1e3);
    println!(
        "{name:<30} | {whole:.2} ({whole_least:.2}-{whole_most:.2}) | {failed:.2} \
         ({failed_least:.2}-{failed_most:.2}) | {p50:.0} ({p50_least:.0}-{p50_most:.0}) | {p99:.0} \
         ({p99_least:.0}-{p99_most:.0})"
    );
}

fn print_table(title: &str, plan: RunPlan) {
    println!(
        "{title}: {} targets, {} entries, load {}, load reports {:?} old; median (range) of \
         {SEEDS} seeds",
        plan.targets, plan.entries, plan.load, plan.report_lag
    );
    println!("policy | attainment % | failed calls % of requests | p50 ms | p99 ms");
    for (policy, name) in POLICIES {
        let runs: Vec<RunFigures> = (1..=SEEDS)
            .map(|seed| PoolSim::new(policy, plan, seed).run())
            .collect();
        print_row(name, &runs);
    }
    println!();
}

fn main() {
    let large = RunPlan {
        targets: 12,
        entries: 40,
        load: 0.8,
        retries: 1,
        report_lag: Duration::from_secs(1),
        straggler: false,
        failing: false,
    };
    let few_entries = RunPlan {
        entries: 4,
        report_lag: Duration::ZERO,
        ..large
    };
    let small = RunPlan {
        targets: 4,
        entries: 8,
        load: 0.3,
        ..large
    };
    for (size, plan) in [
        ("large", large),
        ("few entries", few_entries),
        ("small", small),
    ] {
        for (fault, straggler, failing, retries) in [
            ("no fault", false, false, 1),
            ("straggler", true, false, 1),
            ("fails fast, no retry", false, true, 0),
            ("straggler and fails fast, one retry", true, true, 1),
        ] {
            let plan = RunPlan {
                straggler,
                failing,
                retries,
                ..plan
            };
            print_table(&format!("{size}, {fault}"), plan);
        }
    }
}
