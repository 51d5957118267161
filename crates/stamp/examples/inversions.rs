//! Simulates a fleet with skewed, drifting and stepped wall clocks and counts inversions, pairs of
//! events that a clock puts in the wrong order: for the wall clock itself, the hybrid clock, and
//! the hybrid clock with skew correction.
//!
//! `cargo run --release -p stamp --example inversions`

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    stamp::{HybridClock, HybridTime, SkewClock},
    std::{collections::BinaryHeap, time::Duration},
};

const NODES: usize = 24;
/// Length of a run.
const LENGTH_US: u64 = 60_000_000;
/// Real time at the start of a run, since the Unix epoch.
const START_US: u64 = 1_700_000_000_000_000;
/// Mean intervals between two messages of a node; each is simulated in turn.
const SEND_GAPS_US: [u64; 2] = [50_000, 500_000];
/// Two events farther apart than this in real time should have clock readings in that order.
const MIN_DISTANCE_US: u64 = 50_000;
/// Two events farther apart than this are not compared.
const MAX_DISTANCE_US: u64 = 2_000_000;
/// Number of pairs that are drawn at random in each run.
const SAMPLES: usize = 200_000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=15;
const CLOCKS: [&str; 4] = ["wall", "hybrid", "hybrid+skew 500ms", "hybrid+skew 5ms"];

/// Scenario of wall clock errors in the fleet.
#[derive(Clone, Copy, Debug)]
enum ClockScenario {
    /// Offsets up to 5 ms, drift up to 20 ppm.
    Synchronized,
    /// Like `Synchronized`, with two nodes 10 s behind and one 10 s ahead.
    Skewed,
    /// Like `Skewed`, and each node steps by up to 1 s, either way, about every 20 s.
    Stepped,
    /// Like `Synchronized`, but one node is 60 s ahead between the seconds 20 and 25.
    Excursion,
}

/// Simulated wall clock of one node; `steps` holds the real time and the size of each step in
/// microseconds.
struct WallClock {
    offset_us: i64,
    drift_ppm: i64,
    steps: Vec<(u64, i64)>,
}

impl WallClock {
    fn new(node: usize, scenario: ClockScenario, random: &mut ChaCha8Rng) -> Self {
        let mut clock = Self {
            offset_us: random.random_range(-5_000..=5_000),
            drift_ppm: random.random_range(-20..=20),
            steps: Vec::new(),
        };
        match scenario {
            ClockScenario::Synchronized => {}
            ClockScenario::Excursion if node == 0 => {
                clock.steps = vec![(20_000_000, 60_000_000), (25_000_000, -60_000_000)];
            }
            ClockScenario::Excursion => {}
            ClockScenario::Skewed | ClockScenario::Stepped => {
                clock.offset_us += match node {
                    0 | 1 => -10_000_000,
                    2 => 10_000_000,
                    _ => 0,
                };
            }
        }
        if matches!(scenario, ClockScenario::Stepped) {
            for _ in 0..3 {
                let at = random.random_range(0..LENGTH_US);
                clock
                    .steps
                    .push((at, random.random_range(-1_000_000..=1_000_000)));
            }
        }
        clock
    }

    fn read(&self, real_us: u64) -> u64 {
        let elapsed = real_us as i64;
        let stepped: i64 = self
            .steps
            .iter()
            .filter(|step| step.0 <= real_us)
            .map(|step| step.1)
            .sum();
        let drift = elapsed * self.drift_ppm / 1_000_000;
        START_US.saturating_add_signed(elapsed + drift + self.offset_us + stepped)
    }
}

/// Clocks of one node that are compared.
struct NodeClocks {
    wall: WallClock,
    hybrid: HybridClock,
    skew_clocks: [SkewClock; 2],
}

type ClockReadings = [HybridTime; 4];

impl NodeClocks {
    fn now(&mut self, real_us: u64) -> ClockReadings {
        let wall = self.wall.read(real_us);
        let [wide_margin, narrow_margin] = &mut self.skew_clocks;
        [
            HybridTime::new(wall, 0),
            self.hybrid.now(wall),
            wide_margin.now(wall),
            narrow_margin.now(wall),
        ]
    }

    fn observe(&mut self, sent: &ClockReadings, real_us: u64) -> ClockReadings {
        let wall = self.wall.read(real_us);
        let _ = self.hybrid.observe(sent[1], wall);
        for (skew, sent) in self.skew_clocks.iter_mut().zip(&sent[2..]) {
            let _ = skew.observe(*sent, wall);
        }
        self.now(real_us)
    }
}

/// Results of one run for each clock: inversions as a percentage of the pairs of cause and effect
/// and of the pairs in real time, and how far the clock got ahead of real time.
#[derive(Clone, Copy, Default)]
struct RunResults {
    causal: [f64; 4],
    real: [f64; 4],
    ahead_ms: [f64; 4],
}

/// Event that a node will process: the receipt of a message, or its own next send if `sent` is
/// `None`. Ordered so that a heap returns the earliest one first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: std::cmp::Reverse<u64>,
    node: usize,
    sent: Option<ClockReadings>,
}

fn run(scenario: ClockScenario, gap_us: u64, seed: u64) -> RunResults {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<_> = (0..NODES)
        .map(|node| NodeClocks {
            wall: WallClock::new(node, scenario, &mut random),
            hybrid: HybridClock::new(),
            skew_clocks: [
                SkewClock::with_margin(Duration::from_millis(500)),
                SkewClock::with_margin(Duration::from_millis(5)),
            ],
        })
        .collect();
    let mut queue: BinaryHeap<ScheduledEvent> = (0..NODES)
        .map(|node| schedule(random.random_range(0..gap_us), node, None))
        .collect();
    let mut events: Vec<(u64, usize, ClockReadings)> = Vec::new();
    let mut last: Vec<Option<ClockReadings>> = vec![None; NODES];
    let mut causal = ([0_u64; 4], 0_u64);
    while let Some(ScheduledEvent { at, node, sent }) = queue.pop() {
        let at = at.0;
        if at > LENGTH_US {
            break;
        }
        let readings = match &sent {
            Some(sent) => nodes[node].observe(sent, at),
            None => nodes[node].now(at),
        };
        for cause in [sent, last[node]].into_iter().flatten() {
            causal.1 += 1;
            for clock in 0..4 {
                causal.0[clock] += u64::from(readings[clock] <= cause[clock]);
            }
        }
        last[node] = Some(readings);
        events.push((at, node, readings));
        if sent.is_none() {
            let to = (node + random.random_range(1..NODES)) % NODES;
            let delay = random.random_range(200..3_000);
            queue.push(schedule(at + delay, to, Some(readings)));
            queue.push(schedule(
                at + random.random_range(1..2 * gap_us),
                node,
                None,
            ));
        }
    }
    count_inversions(&events, causal, &mut random)
}

fn schedule(at: u64, node: usize, sent: Option<ClockReadings>) -> ScheduledEvent {
    ScheduledEvent {
        at: std::cmp::Reverse(at),
        node,
        sent,
    }
}

fn count_inversions(
    events: &[(u64, usize, ClockReadings)],
    causal: ([u64; 4], u64),
    random: &mut ChaCha8Rng,
) -> RunResults {
    let mut wrong = [0_u64; 4];
    let mut pairs = 0_u64;
    for _ in 0..SAMPLES {
        let first = &events[random.random_range(0..events.len())];
        let from = events.partition_point(|event| event.0 <= first.0 + MIN_DISTANCE_US);
        let to = events.partition_point(|event| event.0 <= first.0 + MAX_DISTANCE_US);
        if from == to {
            continue;
        }
        let second = &events[random.random_range(from..to)];
        if second.1 == first.1 {
            continue;
        }
        pairs += 1;
        for (clock, wrong) in wrong.iter_mut().enumerate() {
            *wrong += u64::from(second.2[clock] <= first.2[clock]);
        }
    }
    let mut results = RunResults::default();
    for (clock, wrong) in wrong.iter().enumerate() {
        results.causal[clock] = 100.0 * causal.0[clock] as f64 / causal.1 as f64;
        results.real[clock] = 100.0 * *wrong as f64 / pairs as f64;
        let ahead = |event: &(u64, usize, ClockReadings)| {
            event.2[clock].physical_us as f64 - (START_US + event.0) as f64
        };
        results.ahead_ms[clock] = events.iter().map(ahead).fold(f64::MIN, f64::max) / 1_000.0;
    }
    results
}

/// Formats the median and range of a result over the seeds.
fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (least, most) = (values[0], values[values.len() - 1]);
    format!("{:.3} ({least:.3} to {most:.3})", values[values.len() / 2])
}

/// Prints one line for each clock in one scenario.
fn report(scenario: ClockScenario, gap_us: u64) {
    println!("{scenario:?}, a message every {} ms", gap_us / 1_000);
    let runs: Vec<_> = SEEDS.map(|seed| run(scenario, gap_us, seed)).collect();
    for (clock, name) in CLOCKS.iter().enumerate() {
        let causal = median_and_range(runs.iter().map(|run| run.causal[clock]).collect());
        let real = median_and_range(runs.iter().map(|run| run.real[clock]).collect());
        let ahead = median_and_range(runs.iter().map(|run| run.ahead_ms[clock]).collect());
        println!("  {name:18} causal % {causal}, real-time % {real}, ahead ms {ahead}");
    }
}

fn main() {
    let seconds = LENGTH_US / 1_000_000;
    println!("{NODES} nodes, {seconds} s, seeds {SEEDS:?}: inversions, median (range)");
    for gap_us in SEND_GAPS_US {
        report(ClockScenario::Synchronized, gap_us);
        report(ClockScenario::Skewed, gap_us);
        report(ClockScenario::Stepped, gap_us);
        report(ClockScenario::Excursion, gap_us);
    }
}
