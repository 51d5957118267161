//! Random faults in a simulated fleet, alone and together, and the recovery after them.

mod fleet;

use {
    fleet::{Fleet, host_name},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, time::Duration},
    wire::MarkSource,
};

const MEMBERS: usize = 24;
const FAULTS_PER_SEED: usize = 60;
const SEEDS: std::ops::Range<u64> = 0..6;
/// Time from the end of all faults to the check of the views, which must be right again by then.
const RECOVERY_TIME: Duration = Duration::from_secs(60);

/// Fleet under faults, with the hosts and targets that were marked as leaving.
struct FaultTrial {
    fleet: Fleet,
    random: ChaCha8Rng,
    leaving_hosts: BTreeSet<usize>,
    marked_targets: BTreeSet<String>,
}

impl FaultTrial {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(MEMBERS, seed, 0.05);
        fleet.run(Duration::from_secs(20));
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(seed),
            leaving_hosts: BTreeSet::new(),
            marked_targets: BTreeSet::new(),
        }
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..MEMBERS);
        match self.random.random_range(0..7) {
            0 => self.fleet.nodes[index].is_paused = true,
            1 => self.resume_all(),
            2 => {
                for _ in 0..MEMBERS {
                    let cut_link = (
                        self.random.random_range(0..MEMBERS),
                        self.random.random_range(0..MEMBERS),
                    );
                    self.fleet.cut_links.insert(cut_link);
                }
            }
            3 => self.fleet.cut_links.clear(),
            4 if !self.leaving_hosts.contains(&index) && !self.fleet.nodes[index].is_paused => {
                self.fleet.restart(index);
            }
            5 if self.leaving_hosts.len() < MEMBERS / 4 && !self.fleet.nodes[index].is_paused => {
                let now = self.fleet.now;
                self.fleet.nodes[index].table.set_leaving(now);
                self.leaving_hosts.insert(index);
            }
            6 if !self.fleet.nodes[index].is_paused => self.mark_target(index),
            _ => {}
        }
    }

    fn mark_target(&mut self, index: usize) {
        let target = format!("t{}", self.marked_targets.len());
        let since = self.fleet.stamp();
        self.fleet.call(index, |table, now| {
            table.mark_target_leaving(&target, MarkSource::Operator, since, now)
        });
        // A mark is lost if the only process that knows it restarts, so it gets time to spread.
        self.fleet.run(Duration::from_secs(3));
        self.marked_targets.insert(target);
    }

    fn resume_all(&mut self) {
        for index in 0..MEMBERS {
            if self.fleet.nodes[index].is_paused {
                self.fleet.resume(index);
            }
        }
    }

    /// Asserts that every view has at least half as many entries as there are members not leaving.
    fn assert_views(&self) {
        let serving_count = MEMBERS - self.leaving_hosts.len();
        for index in 0..MEMBERS {
            let view_size = self.fleet.view_size(index);
            assert!(view_size >= serving_count / 2, "{index} sees {view_size}");
        }
    }

    fn is_consistent(&self) -> bool {
        let hosts_agree = (0..MEMBERS).all(|host| {
            self.fleet
                .all_see_live(host, !self.leaving_hosts.contains(&host))
        });
        let mut nodes = self.fleet.nodes.iter();
        hosts_agree && nodes.all(|node| node.table.leaving_targets() == self.marked_targets)
    }
}

/// Guards against views that a sequence of pauses, cuts, restarts and marks empties, or that stay
/// wrong after the faults have ended.
#[test]
fn views_recover_after_any_faults() {
    for seed in SEEDS {
        let mut trial = FaultTrial::new(seed);
        for _ in 0..FAULTS_PER_SEED {
            trial.inject_fault();
            let wait_ms = trial.random.random_range(0..4_000);
            trial.fleet.run(Duration::from_millis(wait_ms));
            trial.assert_views();
        }
        trial.fleet.cut_links.clear();
        trial.resume_all();
        trial.fleet.run(RECOVERY_TIME);
        assert!(
            trial.is_consistent(),
            "seed {seed}: {:?}",
            differences(&trial)
        );
    }
}

/// Returns the first five errors in the views, for the failure message.
fn differences(trial: &FaultTrial) -> Vec<String> {
    let mut differences = Vec::new();
    for index in 0..MEMBERS {
        let table = &trial.fleet.nodes[index].table;
        if table.leaving_targets() != trial.marked_targets {
            differences.push(format!("{index}: targets {:?}", table.leaving_targets()));
        }
        for other in (0..MEMBERS).filter(|&other| other != index) {
            if table.is_live_entry(&host_name(other)) == trial.leaving_hosts.contains(&other) {
                differences.push(format!(
                    "{index}: {:?}",
                    table.member(&host_name(other), trial.fleet.now)
                ));
            }
        }
    }
    differences.truncate(5);
    differences
}
