use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How a pool chooses and judges its targets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSettings {
    /// Service time of an ordinary target before anything was measured.
    #[serde(with = "humantime_serde")]
    pub expected: Duration,
    /// What a call to another data centre costs unless it was measured.
    #[serde(with = "humantime_serde")]
    pub centre_cost: Duration,
    /// Targets that are drawn for each call; the call goes to the best of them.
    pub choices: usize,
    /// Part of a call's cost that a cached prefix saves.
    pub prefix_saving: f64,
    /// Largest part of the pool that may be ejected.
    pub eject_share: f64,
    /// A target is ejected when it is this many times slower than the pool.
    pub eject_slowness: f64,
    /// A target is ejected when its failure rate is this far above the pool's.
    pub eject_failures: f64,
    /// Time out of the pool after a first ejection; it doubles with each one that follows.
    #[serde(with = "humantime_serde")]
    pub eject_time: Duration,
    /// Longest time out of the pool.
    #[serde(with = "humantime_serde")]
    pub eject_longest: Duration,
    /// Time in which a target that comes back grows to its full share.
    #[serde(with = "humantime_serde")]
    pub slow_start: Duration,
    /// Time after which half of what was measured is forgotten.
    #[serde(with = "humantime_serde")]
    pub half_life: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            expected: Duration::from_millis(100),
            centre_cost: Duration::from_millis(1),
            choices: 3,
            prefix_saving: 0.5,
            eject_share: 0.34,
            eject_slowness: 4.0,
            eject_failures: 0.4,
            eject_time: Duration::from_secs(5),
            eject_longest: Duration::from_secs(60),
            slow_start: Duration::from_secs(10),
            half_life: Duration::from_secs(20),
        }
    }
}
