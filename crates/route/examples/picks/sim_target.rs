use {
    super::TARGET_CAPACITY,
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Simulated target that runs up to `TARGET_CAPACITY` calls at once, in order of arrival.
#[derive(Debug, Clone, Default)]
pub struct SimTarget {
    /// Speed relative to a typical target.
    pub speed: f64,
    /// True if the target answers every call with an error.
    pub failing: bool,
    pub paused_until: Duration,
    pub running: BTreeSet<u64>,
    pub waiting: VecDeque<u64>,
    /// Earlier loads with the simulated time of each, oldest first.
    pub loads: VecDeque<(Duration, f64)>,
}

impl SimTarget {
    /// Records the present load.
    pub fn record_load(&mut self, now: Duration) {
        let calls = self.running.len() + self.waiting.len();
        self.loads
            .push_back((now, calls as f64 / f64::from(TARGET_CAPACITY)));
    }

    /// Returns the load at an earlier time and drops older records.
    pub fn load_at(&mut self, time: Duration) -> f64 {
        while self.loads.get(1).is_some_and(|(at, _)| *at <= time) {
            self.loads.pop_front();
        }
        let first = self.loads.front().filter(|(at, _)| *at <= time);
        first.map_or(0.0, |(_, load)| *load)
    }
}
