use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Settings of a pool for the choice and ejection of targets.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSettings {
    /// Service time assumed for a target before the first measurement.
    #[serde(with = "humantime_serde")]
    pub expected: Duration,
    /// Extra time of a call to another data centre, used until it is measured.
    #[serde(with = "humantime_serde")]
    pub centre_cost: Duration,
    /// Number of targets drawn for each call; the call goes to the one with the lowest cost.
    pub choices: usize,
    /// Share of a call's time that a cached prefix saves.
    pub prefix_saving: f64,
    /// Largest share of the pool's targets that may be ejected or leaving at once.
    pub eject_share: f64,
    /// A target is ejected when its service time is more than this many times the pool's median.
    pub eject_slowness: f64,
    /// A target is ejected when its failure rate exceeds the pool's median by more than this.
    pub eject_failures: f64,
    /// Duration of the first ejection; it doubles with each further one.
    #[serde(with = "humantime_serde")]
    pub eject_time: Duration,
    /// Longest duration of an ejection.
    #[serde(with = "humantime_serde")]
    pub eject_longest: Duration,
    /// Time over which the share of a target that returns from an ejection grows back to full.
    #[serde(with = "humantime_serde")]
    pub slow_start: Duration,
    /// Half-life of the measurements.
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
