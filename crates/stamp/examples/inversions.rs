//! Counts wrongly ordered pairs of events under skewed, drifting and stepped wall clocks, for
//! the wall clock itself, the hybrid clock, and the hybrid clock with skew correction.
//!
//! `cargo run --release -p stamp --example inversions`

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    stamp::{HybridClock, HybridTime, SkewClock},
    std::{collections::BinaryHeap, time::Duration},
};

const NODES: usize = 24;
const LENGTH_US: u64 = 60_000_000;
const START_US: u64 = 1_700_000_000_000_000;
/// Mean times between two messages of a node.
const SEND_GAPS_US: [u64; 2] = [50_000, 500_000];
/// Pairs farther apart than this in real time should stand in that order.
const APART_US: u64 = 50_000;
/// Pairs farther apart than this are not looked at.
const WINDOW_US: u64 = 2_000_000;
const SAMPLES: usize = 200_000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=15;
const CLOCKS: [&str; 4] = ["wall", "hybrid", "hybrid+skew 500ms", "hybrid+skew 5ms"];

/// How the wall clocks of a fleet go wrong.
#[derive(Clone, Copy, Debug)]
enum Weather {
    /// Offsets up to 5 ms, drift up to 20 ppm.
    Synchronized,
    /// As before, and two nodes 10 s behind, one 10 s ahead.
    Skewed,
    /// As before, and each node steps by up to 1 s, either way, about every 20 s.
    Stepped,
    /// Synchronized, but one node is 60 s ahead between the seconds 20 and 25.
    Excursion,
}

/// One node's wall clock.
struct WallClock {
    offset_us: i64,
    drift_ppm: i64,
    steps: Vec<(u64, i64)>,
}

impl WallClock {
    fn new(node: usize, weather: Weather, random: &mut ChaCha8Rng) -> Self {
        let mut clock = Self {
            offset_us: random.random_range(-5_000..=5_000),
            drift_ppm: random.random_range(-20..=20),
            steps: Vec::new(),
        };
        match weather {
            Weather::Synchronized => {}
            Weather::Excursion if node == 0 => {
                clock.steps = vec![(20_000_000, 60_000_000), (25_000_000, -60_000_000)];
            }
            Weather::Excursion => {}
            Weather::Skewed | Weather::Stepped => {
                clock.offset_us += match node {
                    0 | 1 => -10_000_000,
                    2 => 10_000_000,
                    _ => 0,
                };
            }
        }
        if matches!(weather, Weather::Stepped) {
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

/// The clocks of one node that are compared.
struct NodeClocks {
    wall: WallClock,
    hybrid: HybridClock,
    skews: [SkewClock; 2],
}

type Stamps = [HybridTime; 4];

impl NodeClocks {
    fn now(&mut self, real_us: u64) -> Stamps {
        let wall = self.wall.read(real_us);
        let [paper, small] = &mut self.skews;
        [
            HybridTime::new(wall, 0),
            self.hybrid.now(wall),
            paper.now(wall),
            small.now(wall),
        ]
    }

    fn observe(&mut self, sent: &Stamps, real_us: u64) -> Stamps {
        let wall = self.wall.read(real_us);
        let _ = self.hybrid.observe(sent[1], wall);
        for (skew, sent) in self.skews.iter_mut().zip(&sent[2..]) {
            let _ = skew.observe(*sent, wall);
        }
        self.now(real_us)
    }
}

/// What one run counted, as shares for each clock.
#[derive(Clone, Copy, Default)]
struct Shares {
    causal: [f64; 4],
    real: [f64; 4],
    ahead_ms: [f64; 4],
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: std::cmp::Reverse<u64>,
    node: usize,
    sent: Option<Stamps>,
}

fn run(weather: Weather, gap_us: u64, seed: u64) -> Shares {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<_> = (0..NODES)
        .map(|node| NodeClocks {
            wall: WallClock::new(node, weather, &mut random),
            hybrid: HybridClock::new(),
            skews: [
                SkewClock::with_margin(Duration::from_millis(500)),
                SkewClock::with_margin(Duration::from_millis(5)),
            ],
        })
        .collect();
    let mut queue: BinaryHeap<Due> = (0..NODES)
        .map(|node| due(random.random_range(0..gap_us), node, None))
        .collect();
    let mut events: Vec<(u64, usize, Stamps)> = Vec::new();
    let mut last: Vec<Option<Stamps>> = vec![None; NODES];
    let mut causal = ([0_u64; 4], 0_u64);
    while let Some(Due { at, node, sent }) = queue.pop() {
        let at = at.0;
        if at > LENGTH_US {
            break;
        }
        let stamps = match &sent {
            Some(sent) => nodes[node].observe(sent, at),
            None => nodes[node].now(at),
        };
        for cause in [sent, last[node]].into_iter().flatten() {
            causal.1 += 1;
            for clock in 0..4 {
                causal.0[clock] += u64::from(stamps[clock] <= cause[clock]);
            }
        }
        last[node] = Some(stamps);
        events.push((at, node, stamps));
        if sent.is_none() {
            let to = (node + random.random_range(1..NODES)) % NODES;
            let delay = random.random_range(200..3_000);
            queue.push(due(at + delay, to, Some(stamps)));
            queue.push(due(at + random.random_range(1..2 * gap_us), node, None));
        }
    }
    shares(&events, causal, &mut random)
}

fn due(at: u64, node: usize, sent: Option<Stamps>) -> Due {
    Due {
        at: std::cmp::Reverse(at),
        node,
        sent,
    }
}

fn shares(
    events: &[(u64, usize, Stamps)],
    causal: ([u64; 4], u64),
    random: &mut ChaCha8Rng,
) -> Shares {
    let mut wrong = [0_u64; 4];
    let mut pairs = 0_u64;
    for _ in 0..SAMPLES {
        let first = &events[random.random_range(0..events.len())];
        let from = events.partition_point(|event| event.0 <= first.0 + APART_US);
        let to = events.partition_point(|event| event.0 <= first.0 + WINDOW_US);
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
    let mut shares = Shares::default();
    for (clock, wrong) in wrong.iter().enumerate() {
        shares.causal[clock] = 100.0 * causal.0[clock] as f64 / causal.1 as f64;
        shares.real[clock] = 100.0 * *wrong as f64 / pairs as f64;
        let ahead = |event: &(u64, usize, Stamps)| {
            event.2[clock].physical_us as f64 - (START_US + event.0) as f64
        };
        shares.ahead_ms[clock] = events.iter().map(ahead).fold(f64::MIN, f64::max) / 1_000.0;
    }
    shares
}

/// Median and range of a figure over the seeds.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (least, most) = (values[0], values[values.len() - 1]);
    format!("{:.3} ({least:.3} to {most:.3})", values[values.len() / 2])
}

/// Prints one line for each clock under one weather.
fn report(weather: Weather, gap_us: u64) {
    println!("{weather:?}, a message every {} ms", gap_us / 1_000);
    let runs: Vec<_> = SEEDS.map(|seed| run(weather, gap_us, seed)).collect();
    for (clock, name) in CLOCKS.iter().enumerate() {
        let causal = spread(runs.iter().map(|run| run.causal[clock]).collect());
        let real = spread(runs.iter().map(|run| run.real[clock]).collect());
        let ahead = spread(runs.iter().map(|run| run.ahead_ms[clock]).collect());
        println!("  {name:18} causal % {causal}, real-time % {real}, ahead ms {ahead}");
    }
}

fn main() {
    let seconds = LENGTH_US / 1_000_000;
    println!("{NODES} nodes, {seconds} s, seeds {SEEDS:?}: inversions, median (range)");
    for gap_us in SEND_GAPS_US {
        report(Weather::Synchronized, gap_us);
        report(Weather::Skewed, gap_us);
        report(Weather::Stepped, gap_us);
        report(Weather::Excursion, gap_us);
    }
}
