use {
    super::PLACES,
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
};

/// A target that runs a few calls at once, in order.
#[derive(Debug, Clone, Default)]
pub struct SimTarget {
    pub speed: f64,
    pub failing: bool,
    pub paused_until: Duration,
    pub running: BTreeSet<u64>,
    pub waiting: VecDeque<u64>,
    pub loads: VecDeque<(Duration, f64)>,
}

impl SimTarget {
    /// Notes the load of this moment.
    pub fn note(&mut self, now: Duration) {
        let calls = self.running.len() + self.waiting.len();
        self.loads
            .push_back((now, calls as f64 / f64::from(PLACES)));
    }

    /// Load as it was a while ago.
    pub fn load_at(&mut self, then: Duration) -> f64 {
        while self.loads.get(1).is_some_and(|(at, _)| *at <= then) {
            self.loads.pop_front();
        }
        let first = self.loads.front().filter(|(at, _)| *at <= then);
        first.map_or(0.0, |(_, load)| *load)
    }
}
