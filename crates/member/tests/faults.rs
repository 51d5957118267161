//! Random faults, one after another and together; then calm.

mod fleet;

use {
    fleet::{Fleet, host},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, time::Duration},
    wire::MarkSource,
};

const COUNT: usize = 24;
const STEPS: usize = 60;
const SEEDS: std::ops::Range<u64> = 0..6;
/// Time in which the views become whole once nothing fails any more.
const CALM: Duration = Duration::from_secs(60);

/// A fleet under faults and what was said in it.
struct Trial {
    fleet: Fleet,
    random: ChaCha8Rng,
    leaving: BTreeSet<usize>,
    marked: BTreeSet<String>,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(COUNT, seed, 0.05);
        fleet.run(Duration::from_secs(20));
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(seed),
            leaving: BTreeSet::new(),
            marked: BTreeSet::new(),
        }
    }

    fn disturb(&mut self) {
        let index = self.random.random_range(0..COUNT);
        match self.random.random_range(0..7) {
            0 => self.fleet.nodes[index].frozen = true,
            1 => self.thaw_all(),
            2 => {
                for _ in 0..COUNT {
                    let cut = (
                        self.random.random_range(0..COUNT),
                        self.random.random_range(0..COUNT),
                    );
                    self.fleet.cut.insert(cut);
                }
            }
            3 => self.fleet.cut.clear(),
            4 if !self.leaving.contains(&index) && !self.fleet.nodes[index].frozen => {
                self.fleet.restart(index);
            }
            5 if self.leaving.len() < COUNT / 4 && !self.fleet.nodes[index].frozen => {
                let now = self.fleet.now;
                self.fleet.nodes[index].table.set_leaving(now);
                self.leaving.insert(index);
            }
            6 if !self.fleet.nodes[index].frozen => self.mark(index),
            _ => {}
        }
    }

    fn mark(&mut self, index: usize) {
        let target = format!("t{}", self.marked.len());
        let since = self.fleet.stamp();
        self.fleet.call(index, |table, now| {
            table.mark_target_leaving(&target, MarkSource::Operator, since, now)
        });
        // A restart of the only process that knows a mark loses it.
        self.fleet.run(Duration::from_secs(3));
        self.marked.insert(target);
    }

    fn thaw_all(&mut self) {
        for index in 0..COUNT {
            if self.fleet.nodes[index].frozen {
                self.fleet.thaw(index);
            }
        }
    }

    /// No member that runs gives up most of the others.
    fn check(&self) {
        let serving = COUNT - self.leaving.len();
        for index in 0..COUNT {
            let view = self.fleet.view(index);
            assert!(view >= serving / 2, "{index} sees {view}");
        }
    }

    fn is_whole(&self) -> bool {
        let hosts = (0..COUNT).all(|host| self.fleet.all_use(host, !self.leaving.contains(&host)));
        let mut nodes = self.fleet.nodes.iter();
        hosts && nodes.all(|node| node.table.leaving_targets() == self.marked)
    }
}

#[test]
fn views_become_whole_after_any_faults() {
    for seed in SEEDS {
        let mut trial = Trial::new(seed);
        for _ in 0..STEPS {
            trial.disturb();
            let pause = trial.random.random_range(0..4_000);
            trial.fleet.run(Duration::from_millis(pause));
            trial.check();
        }
        trial.fleet.cut.clear();
        trial.thaw_all();
        trial.fleet.run(CALM);
        assert!(trial.is_whole(), "seed {seed}: {:?}", odd(&trial));
    }
}

/// What is still wrong, for the message of a failure.
fn odd(trial: &Trial) -> Vec<String> {
    let mut odd = Vec::new();
    for index in 0..COUNT {
        let table = &trial.fleet.nodes[index].table;
        if table.leaving_targets() != trial.marked {
            odd.push(format!("{index}: targets {:?}", table.leaving_targets()));
        }
        for other in (0..COUNT).filter(|&other| other != index) {
            if table.is_live_entry(&host(other)) == trial.leaving.contains(&other) {
                odd.push(format!(
                    "{index}: {:?}",
                    table.member(&host(other), trial.fleet.now)
                ));
            }
        }
    }
    odd.truncate(5);
    odd
}
