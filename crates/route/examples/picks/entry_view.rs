use {
    super::TARGET_CAPACITY,
    rand::Rng,
    retry::{HedgePolicy, RetryBudget, RetryBudgetSettings},
    route::{PickQuery, PoolSettings, TargetPool, TargetSpec},
    std::time::Instant,
};

/// How an entry chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickPolicy {
    /// A random target.
    Random,
    /// The target with the fewest calls of this entry in flight.
    LeastInFlight,
    /// Of two random targets, the one with fewer calls of this entry in flight.
    TwoChoices,
    /// `TargetPool` with two choices and without ejection.
    PoolWithoutEjection,
    /// `TargetPool` with this number of choices.
    Pool(usize),
}

/// One simulated entry: its policy and what it has measured.
pub struct EntryView {
    pub policy: PickPolicy,
    pub pool: TargetPool,
    /// Calls of this entry in flight, by target.
    pub in_flight: Vec<u32>,
    pub hedges: HedgePolicy,
    pub budget: RetryBudget,
}

impl EntryView {
    pub fn new(policy: PickPolicy, target_count: usize, seed: u64, now: Instant) -> Self {
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
        pool.set_targets((0..target_count).map(target_spec), now);
        Self {
            policy,
            pool,
            in_flight: vec![0; target_count],
            hedges: HedgePolicy::new(),
            budget: RetryBudget::new(RetryBudgetSettings::default(), now),
        }
    }

    pub fn pick(&mut self, tried: &[String], generator: &mut impl Rng, now: Instant) -> usize {
        let untried: Vec<usize> = (0..self.in_flight.len())
            .filter(|&target| !tried.contains(&target_name(target)))
            .collect();
        let draw =
            |generator: &mut dyn rand::RngCore| untried[generator.random_range(0..untried.len())];
        match self.policy {
            PickPolicy::Random => draw(generator),
            PickPolicy::LeastInFlight => {
                let least = untried.iter().map(|&target| self.in_flight[target]).min();
                let best: Vec<usize> = untried
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
                pick.target[1..]
                    .parse()
                    .expect("target names end in a number")
            }
        }
    }
}

pub fn target_name(target: usize) -> String {
    format!("t{target:02}")
}

pub fn target_spec(target: usize) -> TargetSpec {
    TargetSpec {
        target: target_name(target),
        address: format!("127.0.0.1:{}", 9_000 + target),
        data_centre: String::from("north"),
        capacity: TARGET_CAPACITY,
        leaving: false,
    }
}
